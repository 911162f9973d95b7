#ifndef KUMQUATLOOM_MEMBERSHIP_PROBE_SCHEDULER_SETTINGS_HPP
#define KUMQUATLOOM_MEMBERSHIP_PROBE_SCHEDULER_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace kumquatloom::membership
{

/// Timing and bounds of a probe scheduler (section 5.7 of the design).
struct probe_scheduler_settings
{
    /// Time without a direct message after which a member is probed.
    std::chrono::milliseconds probe_after{1000};
    /// The same for a member that another member reported as suspect.
    std::chrono::milliseconds suspected_probe_after{500};
    /// Interval between probes of the same member.
    std::chrono::milliseconds interval{500};
    /// Interval between probes of a dead member.
    std::chrono::milliseconds dead_interval{2000};
    /// Number of other members that are requested to probe as well.
    std::size_t helpers = 3;
    /// Time for which an ack is accepted. It is shorter than the time between
    /// suspicion and death, so that an outdated ack is never taken as proof
    /// that a member is alive.
    std::chrono::milliseconds ack_timeout{1000};
    /// Maximum number of probes without an ack.
    std::size_t max_outstanding = 512;
};

} // namespace kumquatloom::membership

#endif
