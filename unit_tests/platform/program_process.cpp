#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <unit_tests/platform/program_process.hpp>

namespace kumquatloom::unit_tests
{

namespace
{

/// A loopback address that no other process of the tests uses.
std::string own_loopback_address()
{
    constexpr int byte_values = 256;
    constexpr int networks = 50;
    constexpr int first_network = 200;
    auto const pid = ::getpid();
    return "127." +
           std::to_string(first_network +
                          pid / byte_values / byte_values % networks) +
           "." + std::to_string(pid / byte_values % byte_values) + "." +
           std::to_string(pid % (byte_values - 2) + 1);
}

} // namespace

program_process::program_process(settings::endpoint const& store,
                                 unsigned memory_mb,
                                 unsigned descriptors)
    : host_(own_loopback_address())
    , settings_file_("/tmp/kumquatloom-" + std::to_string(::getpid()) + ".conf")
{
    {
        std::ofstream file(settings_file_);
        file << "node=front-1\nzone=west\nregion=north\nzones.west=north\nip="
             << host_ << "\nlisten.front=" << host_ << ":" << callers_port
             << "\nlisten.ready=" << host_ << ":" << readiness_port
             << "\nlisten.control=" << host_ << ":" << neighbours_port
             << "\nlisten.directory=" << host_ << ":" << directory_port
             << "\ninternalPortRange=" << operators_port
             << ",7675\nlimits.memoryMb=" << memory_mb
             << "\nlimits.maxFds=" << descriptors
             << "\nbounds=graceS=6,retryBudgetRatio=0.2,"
                "ttl_max_s=5\nplatform.address="
             << to_string(store) << "\n";
    }
    std::string program = KUMQUATLOOM_PROGRAM;
    std::string command = "platform";
    std::string option = "--settings";
    std::string settings_file = settings_file_;
    std::array<char*, 5> arguments{program.data(),
                                   command.data(),
                                   option.data(),
                                   settings_file.data(),
                                   nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (int const output : {STDOUT_FILENO, STDERR_FILENO})
        posix_spawn_file_actions_addopen(
            &actions, output, "/dev/null", O_WRONLY, 0);
    int const failed = ::posix_spawn(
        &pid_, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error("cannot start " + program);
    rlimit const limit{descriptors, descriptors};
    ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
}

program_process::~program_process()
{
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    ::unlink(settings_file_.c_str());
}

bool program_process::is_running() const
{
    return ::waitid(P_PID,
                    static_cast<id_t>(pid_),
                    nullptr,
                    WEXITED | WNOHANG | WNOWAIT) == 0 &&
           peak_resident_bytes() != 0;
}

std::size_t program_process::peak_resident_bytes() const
{
    constexpr std::size_t kibibyte = 1024;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    while (status >> word)
        if (word == "VmHWM:")
        {
            std::size_t size = 0;
            status >> size;
            return size * kibibyte;
        }
    return 0;
}

std::size_t program_process::open_descriptors() const
{
    std::error_code ignored;
    std::filesystem::directory_iterator const first(
        "/proc/" + std::to_string(pid_) + "/fd", ignored);
    return static_cast<std::size_t>(
        std::distance(first, std::filesystem::directory_iterator()));
}

} // namespace kumquatloom::unit_tests
