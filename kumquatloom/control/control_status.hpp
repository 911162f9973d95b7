#ifndef KUMQUATLOOM_CONTROL_CONTROL_STATUS_HPP
#define KUMQUATLOOM_CONTROL_CONTROL_STATUS_HPP

#include <kumquatloom/core/ids.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace kumquatloom::control
{

/// The state of the control plane at one time, for operators.
struct control_status
{
    /// Offset of the last reduced record.
    core::log_offset state_offset = 0;
    /// Version of the reduced document, which may wait for its activation.
    core::log_offset known_version = 0;
    /// Whether the instance knows enough to serve.
    bool ready = false;
    /// Whether its state is younger than the freshness lease.
    bool fresh = false;
    /// Age of its freshness; absent if it was never fresh.
    std::optional<std::chrono::milliseconds> freshness_age;
    /// Whether it reads the log for its region.
    bool reader = false;
    /// Whether it relays digests between regions.
    bool relay = false;
    /// Live members of the cell, without this instance.
    std::size_t live_members = 0;
    /// Whether the log differs from what was reduced.
    bool log_disagrees = false;
    /// Ejections in force.
    std::size_t ejections = 0;
    /// Own records that wait to be appended.
    std::size_t waiting_appends = 0;
    /// Own records that were appended.
    std::uint64_t appended = 0;
    /// Appends that failed or whose reply was lost.
    std::uint64_t failed_appends = 0;
    /// Frames of the inner protocol that were dropped.
    std::uint64_t dropped_frames = 0;
    /// Bytes of the replicated state.
    std::size_t state_bytes = 0;
};

} // namespace kumquatloom::control

#endif
