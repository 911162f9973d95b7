#ifndef KUMQUATLOOM_MEMBERSHIP_NEIGHBOUR_SETTINGS_HPP
#define KUMQUATLOOM_MEMBERSHIP_NEIGHBOUR_SETTINGS_HPP

#include <chrono>

namespace kumquatloom::membership
{

/// Times of the exchange with neighbours.
struct neighbour_settings
{
    /// Time between two heartbeats in quiet times.
    std::chrono::milliseconds heartbeat{250};
    /// A neighbour without a heartbeat for this time is no longer handed out
    /// to callers: three heartbeats, and a pause of a loaded small machine.
    std::chrono::milliseconds suspect_after{1000};
    /// After this time it gets no more heartbeats: longer than any partition
    /// that both sides should notice the end of.
    std::chrono::milliseconds forget_after{60000};
};

} // namespace kumquatloom::membership

#endif
