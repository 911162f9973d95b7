#ifndef KUMQUATLOOM_SOAK_INSTANCE_PROCESS_HPP
#define KUMQUATLOOM_SOAK_INSTANCE_PROCESS_HPP

#include <kumquatloom/core/clock.hpp>

#include <csignal>
#include <cstddef>
#include <optional>
#include <soak/disturbance_clock.hpp>
#include <soak/file_open_watch.hpp>
#include <string>
#include <sys/types.h>

namespace kumquatloom::soak
{

/// The process of an instance. The destructor kills it.
class instance_process
{
public:
    /// Exit status of a process.
    struct exit_status
    {
        /// Whether a signal ended the process, and the signal's number or the
        /// exit code.
        bool by_signal = false;
        int code = 0;
    };

    /// Prepares to run "program platform --settings FILE", with standard output
    /// and standard error appended to `log`.
    instance_process(std::string program,
                     std::string settings_file,
                     std::string log);
    ~instance_process();

    instance_process(instance_process const&) = delete;
    instance_process& operator=(instance_process const&) = delete;

    /// Starts a process. None may be running.
    void start();

    /// Sends a signal to the process, if there is one.
    void signal(int number);

    /// Whether a process exists.
    bool is_running() const
    {
        return pid_ > 0;
    }

    /// Reaps the process if it has exited. Returns nothing while it runs.
    std::optional<exit_status> take_exit();

    /// When the process was first sent SIGTERM, if it was.
    std::optional<core::time_point> leaving_since() const
    {
        return leaving_since_;
    }

    /// Whether the process got SIGTERM so early that it may not have installed
    /// its signal handlers.
    bool terminated_while_starting() const;

    /// Whether the process was sent this signal, SIGTERM or SIGHUP, before it
    /// had opened its settings file. Until then it may not have run any code of
    /// its own, so that the default action of the signal may end it.
    bool was_signalled_before_reading_settings(int number) const;

    /// Whether the process was sent SIGKILL.
    bool was_killed() const
    {
        return killed_;
    }

    /// Number of process starts so far.
    std::size_t starts() const
    {
        return starts_;
    }

    /// Disturbances by starts, exits, SIGTERM and SIGHUP.
    disturbance_clock& planned()
    {
        return planned_;
    }

    /// Disturbances by all other signals: SIGKILL, SIGSTOP and SIGCONT.
    disturbance_clock& unplanned()
    {
        return unplanned_;
    }

private:
    /// Path of the program, of its settings file and of its log file.
    std::string program_;
    std::string settings_file_;
    std::string log_;
    /// Process id, or 0 if there is no process.
    pid_t pid_ = 0;
    /// When the process was started.
    core::time_point started_;
    /// Observes whether the process has opened its settings file.
    std::optional<file_open_watch> settings_watch_;
    /// See the accessors.
    std::optional<core::time_point> leaving_since_;
    sigset_t signals_before_reading_settings_{};
    bool killed_ = false;
    std::size_t starts_ = 0;
    disturbance_clock planned_;
    disturbance_clock unplanned_;
};

} // namespace kumquatloom::soak

#endif
