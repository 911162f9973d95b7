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

/// Settings of the activation of offsets.
struct activation_settings
{
    /// Live members of the cell that activation does not wait for.
    unsigned quorum_slack = 1;
    /// Time after which an offset is active without the members: the last
    /// 1 s of the 3 s in which a change must be in force.
    std::chrono::milliseconds longest_wait{1000};
};

/// Decides which of the reduced offsets the instance acts on: one that all but
/// a few of the live members of the cell hold, or that it learned long enough
/// ago. The offset never goes down.
class activation_rule
{
public:
    /// Nothing is active at first.
    explicit activation_rule(activation_settings settings);

    /// The instance has reduced all records up to the offset.
    void learned(core::log_offset offset, core::time_point now);

    /// Activates what can be activated. `others` holds, for each other live
    /// member of the cell, the highest offset that it is known to hold; absent
    /// if nothing is known.
    void update(std::vector<std::optional<core::log_offset>> others,
                core::time_point now);

    /// Activates an offset at once, because the start rule has found that the
    /// cell may act on it. It must have been learned.
    void activate(core::log_offset offset);

    /// The offset that the instance acts on, if there is one.
    std::optional<core::log_offset> active() const
    {
        return active_;
    }

    /// When update() must be called again if no message arrives before.
    std::optional<core::time_point> next_deadline() const;

private:
    /// An offset with the time at which it was learned.
    struct learned_offset
    {
        /// The offset.
        core::log_offset offset = 0;
        /// When it was reduced here.
        core::time_point at;
    };

    /// Offsets that wait. When there are more, two neighbours become one with
    /// the higher offset and the later time, which only delays activation.
    static constexpr std::size_t max_waiting = 1024;

    /// The settings.
    activation_settings settings_;
    /// Learned offsets above the active one, in ascending order.
    std::deque<learned_offset> waiting_;
    /// The highest learned offset.
    std::optional<core::log_offset> newest_;
    /// The active offset.
    std::optional<core::log_offset> active_;
};

} // namespace kumquatloom::document

#endif
