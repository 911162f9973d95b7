#ifndef KUMQUATLOOM_DOCUMENT_ACTIVATION_RULE_HPP
#define KUMQUATLOOM_DOCUMENT_ACTIVATION_RULE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace kumquatloom::document
{

struct activation_settings
{
    /// Number of live members of the cell that may lag behind an active offset.
    unsigned quorum_slack = 1;
    /// Time after which a reduced offset becomes active without a quorum. A
    /// change must be in force within 3 s; activation is the last step and may
    /// take 1 s of them.
    std::chrono::milliseconds max_wait{1000};
};

/// Decides up to which log offset the instance acts on the records that it has
/// reduced, that is, applied to its replicated state. An offset becomes active
/// when a quorum of the cell's live members has reduced it, or after a maximum
/// wait. The active offset never decreases.
class activation_rule
{
public:
    /// Starts without an active offset.
    explicit activation_rule(activation_settings settings);

    /// Records that the instance has reduced all records up to the offset.
    void offset_reduced(core::log_offset offset, core::time_point now);

    /// Advances the active offset. `others` holds, for each other live member
    /// of the cell, the highest offset that the member is known to have
    /// reduced, or std::nullopt if none is known.
    void update(std::vector<std::optional<core::log_offset>> others,
                core::time_point now);

    /// Activates an offset at once, because the readiness rule has found that
    /// the cell may have activated it. The offset must have been reduced.
    void activate(core::log_offset offset);

    /// The active offset, if there is one.
    std::optional<core::log_offset> active() const
    {
        return active_;
    }

    /// The time at which update() must be called again, even if no message
    /// arrives before.
    std::optional<core::time_point> next_deadline() const;

private:
    /// A reduced offset that is not active yet.
    struct pending_offset
    {
        core::log_offset offset = 0;
        /// The time at which this instance reduced it.
        core::time_point reduced_at;
    };

    /// Maximum number of pending offsets. When it is reached, a newly reduced
    /// offset overwrites the newest entry, which only delays activation without
    /// a quorum.
    static constexpr std::size_t max_pending = 1024;

    activation_settings settings_;
    /// Reduced offsets above the active one, in ascending order.
    std::deque<pending_offset> pending_;
    std::optional<core::log_offset> highest_reduced_;
    std::optional<core::log_offset> active_;
};

} // namespace kumquatloom::document

#endif
