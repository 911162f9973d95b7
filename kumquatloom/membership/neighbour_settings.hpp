#ifndef KUMQUATLOOM_MEMBERSHIP_NEIGHBOUR_SETTINGS_HPP
#define KUMQUATLOOM_MEMBERSHIP_NEIGHBOUR_SETTINGS_HPP

#include <chrono>

namespace kumquatloom::membership
{

/// Timing of the exchange with neighbours.
struct neighbour_settings
{
    /// Interval between heartbeats if there is nothing else to report.
    std::chrono::milliseconds heartbeat_interval{250};
    /// Silence after which a neighbour is no longer listed for callers: three
    /// heartbeats and a scheduling delay of a small loaded machine.
    std::chrono::milliseconds suspect_after{1000};
    /// Silence after which a neighbour is removed and gets no more heartbeats.
    /// Must exceed any partition whose end both sides should detect, because
    /// they detect it by these heartbeats.
    std::chrono::milliseconds remove_after{60000};
};

} // namespace kumquatloom::membership

#endif
