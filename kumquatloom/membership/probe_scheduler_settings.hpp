#ifndef KUMQUATLOOM_MEMBERSHIP_PROBE_SCHEDULER_SETTINGS_HPP
#define KUMQUATLOOM_MEMBERSHIP_PROBE_SCHEDULER_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace kumquatloom::membership
{

/// Times and bounds of a probe scheduler (section 5.7 of the design).
struct probe_scheduler_settings
{
    /// Direct silence after which a member is probed.
    std::chrono::milliseconds probe_after{1000};
    /// Direct silence after which a member that somebody suspects is probed.
    std::chrono::milliseconds accused_probe_after{500};
    /// Time between two probes of the same member.
    std::chrono::milliseconds interval{500};
    /// Time between two probes of a dead member.
    std::chrono::milliseconds dead_interval{2000};
    /// Members that are asked to probe as well.
    std::size_t helpers = 3;
    /// Time for which an ack is expected. It is less than the time between
    /// suspicion and death, so that an ack never proves an old life.
    std::chrono::milliseconds ack_timeout{1000};
    /// Most probes without an ack at one time.
    std::size_t max_outstanding = 512;
};

} // namespace kumquatloom::membership

#endif
