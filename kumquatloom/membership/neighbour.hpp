#ifndef KUMQUATLOOM_MEMBERSHIP_NEIGHBOUR_HPP
#define KUMQUATLOOM_MEMBERSHIP_NEIGHBOUR_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::membership
{

/// State of another instance of the same failure domain, as reported in its
/// heartbeats.
struct neighbour
{
    /// IP address; all instances use the same ports.
    std::string host;
    /// Identifies the process start.
    core::incarnation incarnation = 0;
    /// Sequence number of the last heartbeat.
    std::uint32_t sequence = 0;
    /// Receive time of the last heartbeat.
    core::time_point last_heard;
    /// Whether it serves callers.
    bool ready = false;
    /// Whether it is shutting down.
    bool leaving = false;
};

} // namespace kumquatloom::membership

#endif
