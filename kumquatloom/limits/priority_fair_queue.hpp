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

/// Orders what waits: first items that can still meet their target, by
/// priority, then the others by priority; organisations of one priority are
/// served in turn. An overload thus makes few requests very late instead of
/// all of them a little late. Belongs to one thread.
template <typename Item>
class priority_fair_queue
{
public:
    /// Starts empty; the bounds hold for each priority.
    explicit priority_fair_queue(fair_queue_settings settings)
        : on_time_{fair_queue<entry>(settings),
                   fair_queue<entry>(settings),
                   fair_queue<entry>(settings)}
        , late_{fair_queue<entry>(settings),
                fair_queue<entry>(settings),
                fair_queue<entry>(settings)}
    {
    }

    /// Queues an item that should be started before `start_by`.
    queue_admission<Item> push(core::organisation_name const& organisation,
                               priority urgency,
                               core::time_point start_by,
                               Item item)
    {
        auto admitted = on_time_[index(urgency)].push(
            organisation, entry{std::move(item), organisation, start_by});
        queue_admission<Item> result;
        result.queued = admitted.queued;
        if (admitted.evicted)
            result.evicted = std::move(admitted.evicted->item);
        return result;
    }

    /// The next item, or nothing if the queue is empty.
    std::optional<Item> pop(core::time_point now)
    {
        for (std::size_t level = 0; level < levels; ++level)
            while (auto next = on_time_[level].pop())
            {
                if (now < next->start_by)
                    return std::move(next->item);
                auto const organisation = next->organisation;
                auto moved = late_[level].push(organisation, std::move(*next));
                // A full line of late items gives up its oldest one.
                if (!moved.queued)
                    return pop_late(level);
            }
        for (std::size_t level = 0; level < levels; ++level)
            if (late_[level].size() != 0)
                return pop_late(level);
        return std::nullopt;
    }

    /// Number of items.
    std::size_t size() const
    {
        std::size_t sum = 0;
        for (std::size_t level = 0; level < levels; ++level)
            sum += on_time_[level].size() + late_[level].size();
        return sum;
    }

    /// Items of this or a higher priority, which are served before a new one.
    std::size_t items_ahead_of(priority urgency) const
    {
        std::size_t sum = 0;
        for (std::size_t level = 0; level <= index(urgency); ++level)
            sum += on_time_[level].size();
        return sum;
    }

private:
    static constexpr std::size_t levels =
        static_cast<std::size_t>(priority::count);

    /// An item and when it should be started.
    struct entry
    {
        /// The item.
        Item item;
        /// For whom it waits.
        core::organisation_name organisation;
        /// The latest start that meets its target.
        core::time_point start_by;
    };

    static std::size_t index(priority urgency)
    {
        return static_cast<std::size_t>(urgency);
    }

    std::optional<Item> pop_late(std::size_t level)
    {
        auto next = late_[level].pop();
        if (!next)
            return std::nullopt;
        return std::move(next->item);
    }

    /// Items that can still meet their target, by priority.
    std::array<fair_queue<entry>, levels> on_time_;
    /// Items that no longer can.
    std::array<fair_queue<entry>, levels> late_;
};

} // namespace kumquatloom::limits

#endif
