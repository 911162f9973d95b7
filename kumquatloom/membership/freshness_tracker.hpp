#ifndef KUMQUATLOOM_MEMBERSHIP_FRESHNESS_TRACKER_HPP
#define KUMQUATLOOM_MEMBERSHIP_FRESHNESS_TRACKER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace kumquatloom::membership
{

/// Tracks the latest time for which the own state is known to include
/// everything that the log held then (section 5.1 of the design).
class freshness_tracker
{
public:
    /// Age of a state that was never fresh.
    static constexpr std::chrono::milliseconds never{0xFFFFFFFF};

    /// Records that everything the log held at `sent`, when a log read was
    /// sent, has been reduced.
    void record_log_read(core::time_point sent);

    /// Applies a peer's statement that its state, given by offset and digest,
    /// is fresh as of `as_of`, which is the send time of the request less the
    /// stated age. It takes effect once the own state includes the peer's.
    /// Returns false if both states have the same offset but different digests.
    bool apply_claim(core::log_offset offset,
                     std::uint64_t digest,
                     core::time_point as_of);

    /// Updates the own state, and applies the pending claim if the state now
    /// includes it.
    void advance(core::log_offset offset, std::uint64_t digest);

    /// Age of the own state's freshness, or `never`.
    std::chrono::milliseconds age(core::time_point now) const;

private:
    /// A claim for a state that the own state does not include yet.
    struct pending_claim
    {
        core::log_offset offset = 0;
        std::uint64_t digest = 0;
        /// Time as of which the claim makes the state fresh.
        core::time_point as_of;
    };

    void advance_as_of(core::time_point as_of);

    /// Time as of which the own state is fresh.
    std::optional<core::time_point> as_of_;
    /// Offset and digest of the own state.
    core::log_offset offset_ = 0;
    std::uint64_t digest_ = 0;
    /// Pending claim with the latest time.
    std::optional<pending_claim> pending_;
};

} // namespace kumquatloom::membership

#endif
