#ifndef KUMQUATLOOM_MEMBERSHIP_NEIGHBOUR_HPP
#define KUMQUATLOOM_MEMBERSHIP_NEIGHBOUR_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::membership
{

/// Another instance of the same failure domain, as its heartbeats show it.
struct neighbour
{
    /// Its IP number; ports are the same at all instances.
    std::string host;
    /// Distinguishes its process starts.
    core::incarnation incarnation = 0;
    /// Number of its last heartbeat.
    std::uint32_t sequence = 0;
    /// When the last heartbeat was received.
    core::time_point heard;
    /// Whether it serves callers.
    bool ready = false;
    /// Whether it is shutting down.
    bool leaving = false;
};

} // namespace kumquatloom::membership

#endif
