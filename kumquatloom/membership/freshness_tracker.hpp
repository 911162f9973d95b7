#ifndef KUMQUATLOOM_MEMBERSHIP_FRESHNESS_TRACKER_HPP
#define KUMQUATLOOM_MEMBERSHIP_FRESHNESS_TRACKER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace kumquatloom::membership
{

/// Tracks the time as of which this instance knows everything that the log
/// held (section 5.1 of the design).
class freshness_tracker
{
public:
    /// Age that stands for "was never fresh".
    static constexpr std::chrono::milliseconds never{0xFFFFFFFF};

    /// Everything that the log held at `sent`, when a read of the log was
    /// sent, is reduced.
    void read_log(core::time_point sent);

    /// A peer with this state stated its freshness; `as_of` is the own send
    /// time less the stated age. It counts once the own state includes the
    /// peer's. False if both states have one offset but different digests.
    bool claim(core::log_offset offset,
               std::uint64_t digest,
               core::time_point as_of);

    /// The own state has changed.
    void advance(core::log_offset offset, std::uint64_t digest);

    /// Age of the freshness, or `never`.
    std::chrono::milliseconds age(core::time_point now) const;

private:
    /// A claim about a state that this instance has not reached.
    struct pending_claim
    {
        /// Offset of the peer's state.
        core::log_offset offset = 0;
        /// Its digest.
        std::uint64_t digest = 0;
        /// What the claim is worth.
        core::time_point as_of;
    };

    void raise(core::time_point as_of);

    /// The time as of which this instance is fresh.
    std::optional<core::time_point> as_of_;
    /// Offset of the own state.
    core::log_offset offset_ = 0;
    /// Digest of the own state.
    std::uint64_t digest_ = 0;
    /// The newest claim that does not count yet.
    std::optional<pending_claim> pending_;
};

} // namespace kumquatloom::membership

#endif
