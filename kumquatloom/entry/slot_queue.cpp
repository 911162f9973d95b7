#include <kumquatloom/entry/slot_queue.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

using admission::refusal_reason;

/// How often slots are looked for that were not freed by this worker. Only
/// while requests wait.
constexpr std::chrono::milliseconds pump_interval{2};

} // namespace

slot_queue::slot_queue(asio::io_context& context,
                       boost::intrusive_ptr<service_state> service)
    : context_(context)
    , service_(std::move(service))
    , queue_({})
    , timer_(context)
{
}

asio::awaitable<slot_queue::result> slot_queue::take(waiting_request wanted)
{
    if (auto now = take_now(wanted))
        co_return std::move(*now);
    co_return co_await wait(wanted);
}

std::optional<slot_queue::result>
slot_queue::take_now(waiting_request const& wanted)
{
    auto const now = core::clock::now();
    if (!service_->admission.admits(
            wanted.until.remaining(now),
            queue_.items_ahead_of(wanted.urgency),
            service_->slots.load(std::memory_order_relaxed),
            now))
        return result(core::failure(refusal_reason::deadline_too_short));
    // Those that wait here come first.
    if (queue_.size() != 0)
        return std::nullopt;
    auto chosen = service_->picker.choose(wanted.choice, now);
    if (chosen)
        return result(core::success(std::move(chosen.value())));
    if (chosen.error() == routing::pick_error::no_free_slot)
        return std::nullopt;
    return result(core::failure(refusal_reason::no_upstream));
}

asio::awaitable<slot_queue::result> slot_queue::wait(waiting_request wanted)
{
    waiter_pointer const self(new waiter(context_));
    auto admitted = queue_.push(
        wanted.organisation, wanted.urgency, latest_start(wanted.target), self);
    if (admitted.evicted)
    {
        (*admitted.evicted)->evicted = true;
        wake(**admitted.evicted);
    }
    if (!admitted.queued)
        co_return core::failure(refusal_reason::queue_full);
    schedule();
    self->timer.expires_at(give_up_at(wanted, core::clock::now()));
    interruption on_cancel(
        [&self]
        {
            wake(*self);
        });
    wanted.ended.wait_for(on_cancel);
    service_->waiting.fetch_add(1, std::memory_order_relaxed);
    co_await self->timer.async_wait(as_result);
    service_->waiting.fetch_sub(1, std::memory_order_relaxed);
    self->gone = true;
    if (self->found)
        co_return core::success(std::move(*self->found));
    co_return core::failure(self->evicted ? refusal_reason::queue_full
                                          : refusal_reason::overloaded);
}

void slot_queue::pump()
{
    while (queue_.size() != 0)
    {
        auto const now = core::clock::now();
        auto chosen = service_->picker.choose({{}, false, ++draws_}, now);
        // Without any upstream those that wait may as well go on waiting:
        // the list lags, and their deadline ends the wait.
        if (!chosen)
            return;
        auto next = queue_.pop(now);
        while (next && (*next)->gone)
            next = queue_.pop(now);
        if (!next)
        {
            service_->picker.finish_attempt(
                chosen.value(),
                {chosen.value().object->endpoint().id,
                 health::attempt_result::cancelled,
                 {},
                 {}},
                now);
            return;
        }
        (*next)->found = std::move(chosen.value());
        wake(**next);
    }
}

core::duration slot_queue::time_to_room() const
{
    return service_->admission.estimate(
        queue_.size(), service_->slots.load(std::memory_order_relaxed));
}

core::time_point slot_queue::give_up_at(waiting_request const& wanted,
                                        core::time_point now) const
{
    // A request that starts later than this cannot be answered in time.
    auto const last = latest_start(wanted.until.at());
    if (wanted.target == core::time_point::max())
        return last;
    auto const patience =
        (wanted.target - now) * service_->patience_percent / 100;
    return std::min(last, latest_start(wanted.target) + patience);
}

core::time_point slot_queue::latest_start(core::time_point answer_by) const
{
    return answer_by == core::time_point::max()
               ? answer_by
               : answer_by - service_->admission.assumed_service_time();
}

void slot_queue::schedule()
{
    if (scheduled_ || queue_.size() == 0)
        return;
    scheduled_ = true;
    timer_.expires_after(pump_interval);
    timer_.async_wait(
        [self = boost::intrusive_ptr<slot_queue>(this)](error_code error)
        {
            self->scheduled_ = false;
            if (error)
                return;
            self->pump();
            self->schedule();
        });
}

void slot_queue::wake(waiter& item)
{
    item.timer.expires_at(core::time_point::min());
}

} // namespace kumquatloom::entry
