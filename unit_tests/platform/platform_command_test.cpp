#include <kumquatloom/cli/command.hpp>

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <platform/platform_command.hpp>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace kumquatloom::platform
{

namespace
{

/// A named pipe in a temporary folder. The destructor removes both.
class named_pipe
{
public:
    named_pipe()
    {
        REQUIRE(::mkdtemp(folder_.data()) != nullptr);
        REQUIRE(::mkfifo(path().c_str(), S_IRUSR | S_IWUSR) == 0);
    }
    ~named_pipe()
    {
        std::filesystem::remove_all(folder_);
    }

    named_pipe(named_pipe const&) = delete;
    named_pipe& operator=(named_pipe const&) = delete;

    std::string path() const
    {
        return folder_ + "/settings";
    }

private:
    std::string folder_ = "/tmp/kumquatloom-XXXXXX";
};

} // namespace

// Guards against SIGHUP ending a process that has read no settings yet. The
// settings file is a pipe, so that the process waits in the middle of its start
// until the test has sent the signal.
TEST_CASE("SIGHUP does not end an instance that is starting", "[platform]")
{
    named_pipe const settings;
    auto const child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0)
    {
        std::signal(SIGHUP, SIG_DFL);
        ::_exit(run_platform({"--settings", settings.path()}));
    }
    // Returns when the child has opened the pipe for reading.
    int const writer = ::open(settings.path().c_str(), O_WRONLY | O_CLOEXEC);
    REQUIRE(writer >= 0);
    REQUIRE(::kill(child, SIGHUP) == 0);
    // The settings are invalid, so that the child ends by itself.
    std::string const text = "unknown=1\n";
    CHECK(::write(writer, text.data(), text.size()) ==
          static_cast<ssize_t>(text.size()));
    ::close(writer);
    int status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == cli::exit_usage);
}

} // namespace kumquatloom::platform
