#ifndef KUMQUATLOOM_LIMITS_PRIORITY_FAIR_QUEUE_HPP
#define KUMQUATLOOM_LIMITS_PRIORITY_FAIR_QUEUE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/fair_queue.hpp>
#include <kumquatloom/limits/priority.hpp>

#include <array>
#include <cstddef>
#include <optional>
#include <utility>

namespace kumquatloom::limits
{

/// Queue that serves items which can still meet their latency target first, by
/// priority, and then the late ones, by priority. Organisations of one priority
/// take turns. Under overload a few requests thus become very late instead of
/// all of them a little late. Not thread-safe.
template <typename Item>
class priority_fair_queue
{
public:
    /// The bounds in the settings apply to each priority.
    explicit priority_fair_queue(fair_queue_settings settings)
        : on_time_{fair_queue<entry>(settings),
                   fair_queue<entry>(settings),
                   fair_queue<entry>(settings)}
        , late_{fair_queue<entry>(settings),
                fair_queue<entry>(settings),
                fair_queue<entry>(settings)}
    {
    }

    /// Queues an item that must start before `start_by` to meet its target.
    push_result<Item> push(core::organisation_name const& organisation,
                           priority value,
                           core::time_point start_by,
                           Item item,
                           turn_number turn = 0)
    {
        auto admitted = on_time_[index(value)].push(
            organisation,
            entry{std::move(item), organisation, start_by, turn},
            turn);
        push_result<Item> result;
        result.queued = admitted.queued;
        if (admitted.evicted)
            result.evicted = std::move(admitted.evicted->item);
        return result;
    }

    /// Removes the next item; nothing if the queue is empty.
    std::optional<Item> pop(core::time_point now)
    {
        for (std::size_t level = 0; level < levels; ++level)
            while (auto next = on_time_[level].pop())
            {
                if (now < next->start_by)
                    return std::move(next->item);
                auto const organisation = next->organisation;
                auto const turn = next->turn;
                auto moved =
                    late_[level].push(organisation, std::move(*next), turn);
                // The queue of late items is full and has dropped this item:
                // serve one of the queued late items.
                if (!moved.queued)
                    return pop_late(level);
            }
        for (std::size_t level = 0; level < levels; ++level)
            if (late_[level].size() != 0)
                return pop_late(level);
        return std::nullopt;
    }

    std::size_t size() const
    {
        std::size_t sum = 0;
        for (std::size_t level = 0; level < levels; ++level)
            sum += on_time_[level].size() + late_[level].size();
        return sum;
    }

    /// The highest priority with items; empty if there are none.
    std::optional<priority> top_priority() const
    {
        for (std::size_t level = 0; level < levels; ++level)
            if (on_time_[level].size() + late_[level].size() != 0)
                return static_cast<priority>(level);
        return std::nullopt;
    }

    /// Number of items that can still meet their target and are served before a
    /// new item of this priority: those of the same or a higher priority.
    std::size_t items_ahead_of(priority value) const
    {
        std::size_t sum = 0;
        for (std::size_t level = 0; level <= index(value); ++level)
            sum += on_time_[level].size();
        return sum;
    }

    /// As above, without the later turns of the organisation at this priority.
    std::size_t items_ahead_of(priority value,
                               core::organisation_name const& organisation,
                               turn_number turn)
    {
        auto& level = on_time_[index(value)];
        return items_ahead_of(value) - level.size() +
               level.items_before(organisation, turn);
    }

private:
    static constexpr std::size_t levels =
        static_cast<std::size_t>(priority::count);

    /// An item with its organisation and its latest start.
    struct entry
    {
        Item item;
        core::organisation_name organisation;
        /// Latest start that meets the target.
        core::time_point start_by;
        turn_number turn;
    };

    static std::size_t index(priority value)
    {
        return static_cast<std::size_t>(value);
    }

    std::optional<Item> pop_late(std::size_t level)
    {
        auto next = late_[level].pop();
        if (!next)
            return std::nullopt;
        return std::move(next->item);
    }

    /// Items that could meet their target when last checked, by priority.
    std::array<fair_queue<entry>, levels> on_time_;
    /// Items that can no longer meet their target, by priority.
    std::array<fair_queue<entry>, levels> late_;
};

} // namespace kumquatloom::limits

#endif
