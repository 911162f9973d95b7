#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <soak/instance_process.hpp>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace kumquatloom::soak
{

namespace
{

/// Time after the start within which a process might not have installed its
/// signal handlers yet.
constexpr std::chrono::milliseconds signal_setup_time{200};
/// File mode of a new log file.
constexpr mode_t log_mode = 0644;

} // namespace

instance_process::instance_process(std::string program,
                                   std::string settings_file,
                                   std::string log)
    : program_(std::move(program))
    , settings_file_(std::move(settings_file))
    , log_(std::move(log))
{
}

instance_process::~instance_process()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

void instance_process::start()
{
    settings_watch_.emplace(settings_file_);
    std::string command = "platform";
    std::string option = "--settings";
    std::array<char*, 5> arguments{program_.data(),
                                   command.data(),
                                   option.data(),
                                   settings_file_.data(),
                                   nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int const failed = ::posix_spawn(
        &pid_, program_.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error("cannot start " + program_);
    ++starts_;
    started_ = core::clock::now();
    leaving_since_.reset();
    sigemptyset(&signals_before_reading_settings_);
    killed_ = false;
    planned_.touch();
}

void instance_process::signal(int number)
{
    if (pid_ <= 0)
        return;
    bool const is_planned = number == SIGHUP || number == SIGTERM;
    if (is_planned && !settings_watch_->was_opened())
        sigaddset(&signals_before_reading_settings_, number);
    ::kill(pid_, number);
    (is_planned ? planned_ : unplanned_).touch();
    if (number == SIGTERM && !leaving_since_)
        leaving_since_ = core::clock::now();
    killed_ = killed_ || number == SIGKILL;
}

bool instance_process::terminated_while_starting() const
{
    return leaving_since_ && *leaving_since_ - started_ < signal_setup_time;
}

bool instance_process::was_signalled_before_reading_settings(int number) const
{
    return sigismember(&signals_before_reading_settings_, number) == 1;
}

std::optional<instance_process::exit_status> instance_process::take_exit()
{
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
        return std::nullopt;
    pid_ = 0;
    planned_.touch();
    if (WIFSIGNALED(status))
        return exit_status{true, WTERMSIG(status)};
    return exit_status{false, WEXITSTATUS(status)};
}

} // namespace kumquatloom::soak
