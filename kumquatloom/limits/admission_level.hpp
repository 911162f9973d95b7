#ifndef KUMQUATLOOM_LIMITS_ADMISSION_LEVEL_HPP
#define KUMQUATLOOM_LIMITS_ADMISSION_LEVEL_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/priority.hpp>
#include <kumquatloom/limits/room_report.hpp>
#include <kumquatloom/limits/slack_ranking.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace kumquatloom::limits
{

/// The pair of priority and slack below which new requests to a service are
/// refused, from the reports of some instances. Never refuses the most urgent
/// priority in use, nor anything without reports of others. Not thread-safe.
class admission_level
{
public:
    /// Adds the report of another instance, unless a newer one is known.
    void record(std::uint32_t source,
                core::incarnation sender,
                std::uint32_t sequence,
                room_report const& report,
                core::time_point now);

    /// Computes the level from the own report and the recent ones of others.
    /// Called at regular intervals.
    void update(room_report const& own, core::time_point now);

    /// Whether to refuse a new request. `slack` is the time that it can wait
    /// for a slot and still meet its target. Counts the request.
    bool refuses(priority value, core::duration slack, core::time_point now);

    /// The level as a number: 0 admits all, 1 refuses all requests of the
    /// lowest priority, 2 also those of the next one. A fraction refuses that
    /// part of a priority, by least slack.
    double value(core::time_point now) const;

    /// Number of other instances with a recent report.
    std::size_t sources(core::time_point now) const;

private:
    static constexpr std::size_t levels = room_report::levels;

    /// The last report of another instance.
    struct source_state
    {
        core::incarnation sender = 0;
        std::uint32_t sequence = 0;
        room_report report;
        core::time_point received;
    };

    void erase_oldest();
    room_report sum(room_report const& own, core::time_point now) const;

    std::unordered_map<std::uint32_t, source_state> sources_;
    /// The level as of the last update.
    double level_ = 0;
    core::time_point updated_at_;
    /// When the last report of another instance arrived.
    core::time_point last_received_ = core::time_point::min();
    /// Slack of recent requests by priority.
    std::array<slack_ranking, levels> slack_;
};

/// The level that the sum of several instances' reports calls for.
double wanted_admission_level(room_report const& sum);

} // namespace kumquatloom::limits

#endif
