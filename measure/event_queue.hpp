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

/// Runs actions in the order of their times, and in the order in which they
/// were added at the same time.
class event_queue
{
public:
    /// The time of the action that runs, or ran last.
    core::time_point now() const
    {
        return now_;
    }

    /// Adds an action.
    void at(core::time_point time, std::function<void()> action)
    {
        events_.push_back(
            {std::max(time, now_), next_number_++, std::move(action)});
        std::push_heap(events_.begin(), events_.end(), is_later);
    }

    /// Adds an action that runs after a delay.
    void after(core::duration delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }

    /// Runs all actions up to a time.
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
    /// One action.
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

    /// A heap with the next action at the front.
    std::vector<event> events_;
    /// See now().
    core::time_point now_;
    /// Number of actions added so far.
    std::uint64_t next_number_ = 0;
};

} // namespace kumquatloom::measure

#endif
