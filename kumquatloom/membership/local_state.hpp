#ifndef KUMQUATLOOM_MEMBERSHIP_LOCAL_STATE_HPP
#define KUMQUATLOOM_MEMBERSHIP_LOCAL_STATE_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstdint>

namespace kumquatloom::membership
{

/// State of this instance that it reports to others.
struct local_state
{
    /// Number of reduced records from the start of the log: one more than the
    /// offset of the last one.
    core::log_offset state_offset = 0;
    /// First 8 bytes of the chain digest at `state_offset`.
    std::uint64_t chain_digest = 0;
    /// Offset of the last accepted edit.
    core::log_offset document_version = 0;
    /// Whether the instance serves callers.
    bool ready = false;
};

} // namespace kumquatloom::membership

#endif
