#ifndef KUMQUATLOOM_MEASURE_EVENT_QUEUE_HPP
#define KUMQUATLOOM_MEASURE_EVENT_QUEUE_HPP

#include <kumquatloom/core/clock.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace kumquatloom::measure
{

/// Event queue of a discrete-event simulation. Runs actions by time; actions
/// with equal times run in insertion order.
class event_queue
{
public:
    /// The simulated time: the time of the current action, or the `end` of the
    /// last run_until().
    core::time_point now() const
    {
        return now_;
    }

    /// Schedules an action; a time in the past counts as now.
    void at(core::time_point time, std::function<void()> action)
    {
        events_.push_back(
            {std::max(time, now_), next_number_++, std::move(action)});
        std::push_heap(events_.begin(), events_.end(), is_later);
    }

    /// Schedules an action after a delay.
    void after(core::duration delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }

    /// Runs all actions up to and including a time.
    void run_until(core::time_point end)
    {
        while (!events_.empty() && events_.front().time <= end)
        {
            std::pop_heap(events_.begin(), events_.end(), is_later);
            auto const next = std::move(events_.back());
            events_.pop_back();
            now_ = next.time;
            next.action();
        }
        now_ = end;
    }

private:
    /// A scheduled action.
    struct event
    {
        core::time_point time;
        std::uint64_t number;
        std::function<void()> action;
    };

    static bool is_later(event const& left, event const& right)
    {
        return left.time != right.time ? left.time > right.time
                                       : left.number > right.number;
    }

    /// Binary heap with the next action at the front.
    std::vector<event> events_;
    /// See now().
    core::time_point now_;
    /// Sequence number of the next action.
    std::uint64_t next_number_ = 0;
};

} // namespace kumquatloom::measure

#endif
