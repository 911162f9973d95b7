#ifndef KUMQUATLOOM_CONTROL_CONTROL_STATUS_HPP
#define KUMQUATLOOM_CONTROL_CONTROL_STATUS_HPP

#include <kumquatloom/core/ids.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace kumquatloom::control
{

/// A snapshot of the control plane's state for the status and metrics pages.
struct control_status
{
    /// Number of records of the log that are reduced.
    core::log_offset state_offset = 0;
    /// Version of the reduced document, which may not be active yet.
    core::log_offset known_version = 0;
    /// Whether the instance is ready to serve callers.
    bool ready = false;
    /// Whether the state is younger than the freshness lease.
    bool fresh = false;
    /// Age of the state; absent if it was never fresh.
    std::optional<std::chrono::milliseconds> freshness_age;
    /// Whether the instance is an elected reader of the log.
    bool reader = false;
    /// Whether the instance relays digests between cells and regions.
    bool relay = false;
    /// Number of live members of the cell, without this instance.
    std::size_t live_members = 0;
    /// Whether the log was truncated or differs from the reduced records.
    bool log_disagrees = false;
    /// Number of ejections in force.
    std::size_t ejections = 0;
    /// Number of the instance's records that wait to be appended.
    std::size_t waiting_appends = 0;
    /// Number of the instance's records that were appended.
    std::uint64_t appended = 0;
    /// Number of appends that failed or whose response was lost.
    std::uint64_t failed_appends = 0;
    /// Number of received frames of the peer protocol that were dropped.
    std::uint64_t dropped_frames = 0;
    /// Memory of the replicated state in bytes.
    std::size_t state_bytes = 0;
};

} // namespace kumquatloom::control

#endif
