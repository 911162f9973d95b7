#ifndef KUMQUATLOOM_REVIEW_STAND_INS_2_INSTANCE_HPP
#define KUMQUATLOOM_REVIEW_STAND_INS_2_INSTANCE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>

namespace kumquatloom::review
{

/// A machine of the platform that runs the program as the deploy file states.
class instance
{
public:
    /// What differs between machines and deployments.
    struct parameters
    {
        std::string name;
        std::string host;
        std::string store;
        /// Control addresses of machines.
        std::string seeds;
        unsigned memory_mb = 260;
    };

    /// Writes the settings file into `folder`.
    instance(std::string const& folder, parameters given);
    ~instance();

    instance(instance const&) = delete;
    instance& operator=(instance const&) = delete;

    void start();

    /// Waits until the readiness page says ready; false after the limit.
    bool wait_until_ready(std::chrono::milliseconds limit) const;

    void send_signal(int number) const;

    /// Kills the process, if it runs, and reaps it.
    void kill();

    /// Whether the process runs; reaps it if it has ended.
    bool is_running();

    /// The largest resident size of the process so far; 0 if it has ended.
    std::size_t peak_bytes() const
    {
        return memory_figure("VmHWM:");
    }

    /// The resident size of the process; 0 if it has ended.
    std::size_t resident_bytes() const
    {
        return memory_figure("VmRSS:");
    }

    std::string const& host() const
    {
        return given_.host;
    }

    std::string const& name() const
    {
        return given_.name;
    }

    std::size_t memory_bytes() const
    {
        return std::size_t{given_.memory_mb} * 1024 * 1024;
    }

    std::uint16_t callers_port() const
    {
        return callers_port_;
    }

    static constexpr std::uint16_t control_port = 8146;

private:
    std::size_t memory_figure(std::string const& name) const;

    parameters const given_;
    std::uint16_t const callers_port_ = 8144;
    std::string const settings_file_;
    std::string const log_file_;
    pid_t pid_ = 0;
};

/// An address of the loopback network of this process, which differs from
/// those of other processes that run at the same time.
std::string loopback_address(unsigned third, unsigned fourth);

} // namespace kumquatloom::review

#endif
