#ifndef KUMQUATLOOM_SOAK_INSTANCE_PROCESS_HPP
#define KUMQUATLOOM_SOAK_INSTANCE_PROCESS_HPP

#include <kumquatloom/core/clock.hpp>

#include <cstddef>
#include <optional>
#include <soak/trouble_clock.hpp>
#include <string>
#include <sys/types.h>

namespace kumquatloom::soak
{

/// One instance as a process of its own. Ends the process on destruction.
class instance_process
{
public:
    /// How a process has ended.
    struct ending
    {
        /// Whether a signal ended it, and its number or the exit status.
        bool by_signal = false;
        int code = 0;
    };

    /// Will run "program platform --settings FILE" with its standard output
    /// in `log`.
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
    bool runs() const
    {
        return pid_ > 0;
    }

    /// Takes note of the end of the process; nothing while it runs.
    std::optional<ending> take_ending();

    /// Whether it was asked to leave, and when.
    std::optional<core::time_point> leaving_since() const
    {
        return leaving_since_;
    }

    /// Whether it was asked to leave before it can have been listening for
    /// signals.
    bool left_while_starting() const;

    /// Whether it was killed.
    bool was_killed() const
    {
        return killed_;
    }

    /// Process starts so far.
    std::size_t starts() const
    {
        return starts_;
    }

    /// When it was started or asked to leave, or has left.
    trouble_clock& planned()
    {
        return planned_;
    }

    /// When it was killed, paused or resumed.
    trouble_clock& unplanned()
    {
        return unplanned_;
    }

private:
    /// What runs, with which settings, and where its output goes.
    std::string program_;
    std::string settings_file_;
    std::string log_;
    /// The process, or 0.
    pid_t pid_ = 0;
    /// When it was started.
    core::time_point started_;
    /// See the accessors.
    std::optional<core::time_point> leaving_since_;
    bool killed_ = false;
    std::size_t starts_ = 0;
    trouble_clock planned_;
    trouble_clock unplanned_;
};

} // namespace kumquatloom::soak

#endif
