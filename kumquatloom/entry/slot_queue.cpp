#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/slot_queue.hpp>
#include <kumquatloom/limits/quota_table.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

using admission::refusal_reason;

/// Poll interval for slots that were freed other than by this worker's
/// requests; used only while requests wait.
constexpr std::chrono::milliseconds poll_interval{5};
/// Interval at which waiting cost-aware requests are checked for whether they
/// can still be served in time. The check takes time quadratic in their number.
constexpr std::chrono::milliseconds hopeless_check_interval{25};
/// Bound on the waiting cost-aware requests. An instance gets a few slots of a
/// service, so that with time limits of seconds no more can be served.
constexpr std::size_t max_cost_aware = 256;

refusal_reason reason_of(limits::shortage_refusal cause)
{
    switch (cause)
    {
    case limits::shortage_refusal::no_time:
        return refusal_reason::deadline_too_short;
    case limits::shortage_refusal::queue_full:
    case limits::shortage_refusal::evicted:
        return refusal_reason::queue_full;
    default:
        return refusal_reason::overloaded;
    }
}

} // namespace

slot_queue::slot_queue(asio::io_context& context,
                       boost::intrusive_ptr<service_state> service,
                       limits::admission_levels* levels)
    : context_(context)
    , service_(std::move(service))
    , queue_({})
    , cost_aware_(max_cost_aware)
    , retries_(service_->retry_percent)
    , levels_(levels)
    , service_key_(limits::quota_key(service_->name.value()))
    , timer_(context)
{
}

asio::awaitable<slot_queue::result> slot_queue::acquire(slot_request request)
{
    if (request.policy == request_policy::cost_aware)
        co_return co_await acquire_cost_aware(request);
    if (auto immediate = try_acquire(request))
        co_return std::move(*immediate);
    co_return co_await wait(request);
}

std::optional<slot_queue::result>
slot_queue::try_acquire(slot_request const& request)
{
    auto const now = core::clock::now();
    auto const turn = turns_.next(request.connection);
    if (!service_->admission.admits(
            request.until.remaining(now),
            queue_.items_ahead_of(
                request.priority, request.organisation, turn) +
                cost_aware_.items_up_to(request.priority),
            service_->slots.load(std::memory_order_relaxed),
            now))
        return result(core::failure(refusal_reason::deadline_too_short));
    // Queued requests have precedence.
    if (waiting() != 0)
        return std::nullopt;
    auto chosen = choose(request.selection, now);
    if (chosen)
        return result(core::success(std::move(chosen.value())));
    if (chosen.error() == routing::pick_error::no_free_slot)
        return std::nullopt;
    return result(core::failure(refusal_reason::no_upstream));
}

asio::awaitable<slot_queue::result> slot_queue::wait(slot_request request)
{
    auto const now = core::clock::now();
    auto const give_up_at = wait_deadline(request, now);
    auto const available_at = service_->picker.available_at(now);
    if (auto const reason = unservable_reason(available_at, give_up_at, now))
        co_return core::failure(*reason);
    waiter_pointer const self(new waiter(context_));
    self->give_up_at = give_up_at;
    self->turn = turns_.assign(request.connection);
    auto pushed = queue_.push(request.organisation,
                              request.priority,
                              latest_start(request.answer_by),
                              self,
                              self->turn);
    if (pushed.evicted)
    {
        (*pushed.evicted)->reason = refusal_reason::queue_full;
        wake(**pushed.evicted);
    }
    if (!pushed.queued)
        co_return core::failure(refusal_reason::queue_full);
    schedule();
    co_await wait_for_slot(*self, request.cancel);
    if (self->assigned)
        co_return core::success(std::move(*self->assigned));
    co_return core::failure(self->reason);
}

asio::awaitable<void> slot_queue::wait_for_slot(waiter& self,
                                                cancellation& cancel)
{
    waiters_.push_back(self);
    if (!self.assigned)
        self.timer.expires_at(self.give_up_at);
    cancellation_callback on_cancel(
        [&self]
        {
            wake(self);
        });
    cancel.add_callback(on_cancel);
    service_->waiting.fetch_add(1, std::memory_order_relaxed);
    co_await self.timer.async_wait(as_result);
    service_->waiting.fetch_sub(1, std::memory_order_relaxed);
    self.done = true;
    self.unlink();
}

asio::awaitable<slot_queue::result>
slot_queue::acquire_cost_aware(slot_request request)
{
    auto const now = core::clock::now();
    control_.room.record_arrival(request.priority, now);
    log_shortage(shortage_.update(waiting(), now));
    auto const times =
        limits::start_times_of(request.answer_by,
                               request.until.at(),
                               control_.work.times(request.route, now));
    if (is_below_level(request, times.on_time - now, now))
        co_return refuse(limits::shortage_refusal::admission_level,
                         request.priority);
    // Queued requests have precedence.
    if (waiting() == 0 && now <= times.last)
    {
        auto chosen = choose(request.selection, now);
        if (chosen)
        {
            control_.room.record_grant(now);
            co_return core::success(std::move(chosen.value()));
        }
        if (chosen.error() != routing::pick_error::no_free_slot)
            co_return core::failure(refusal_reason::no_upstream);
    }
    auto const ahead = cost_aware_.ahead_of(request.organisation,
                                            request.priority,
                                            times,
                                            now,
                                            request.connection) +
                       queue_.items_ahead_of(request.priority);
    if (auto const refusal = control_.on_arrival(
            times, ahead, request.priority, attempts_in_flight(), now))
        co_return refuse(*refusal, request.priority);
    auto const available_at = service_->picker.available_at(now);
    if (auto const reason = unservable_reason(available_at, times.last, now))
    {
        record_refusal(limits::shortage_refusal::paused, request.priority);
        co_return core::failure(*reason);
    }
    waiter_pointer const self(new waiter(context_));
    self->give_up_at = times.last;
    self->tried = request.selection.tried;
    self->preference = request.selection.preference;
    auto pushed = cost_aware_.push(request.organisation,
                                   request.priority,
                                   times,
                                   self,
                                   now,
                                   request.connection);
    if (!pushed.queued)
        co_return refuse(limits::shortage_refusal::queue_full,
                         request.priority);
    if (pushed.evicted)
    {
        (*pushed.evicted)->cause = limits::shortage_refusal::evicted;
        wake(**pushed.evicted);
    }
    assign_slots();
    schedule();
    co_await wait_for_slot(*self, request.cancel);
    cost_aware_.withdraw(self);
    if (self->assigned)
        co_return core::success(std::move(*self->assigned));
    if (request.cancel.requested())
        co_return core::failure(self->reason);
    co_return refuse(self->cause, request.priority);
}

bool slot_queue::is_below_level(slot_request const& request,
                                core::duration slack,
                                core::time_point now)
{
    if (levels_ == nullptr)
        return false;
    limits::room_report report;
    for (std::size_t i = 0; i < limits::room_report::levels; ++i)
        report.arrivals_per_s[i] =
            static_cast<float>(control_.room.arrivals_per_s(
                static_cast<limits::priority>(i), now));
    report.waiting = static_cast<float>(waiting());
    report.slots_per_s = static_cast<float>(control_.room.grants_per_s(now));
    levels_->observe(
        service_key_, report, waiting() != 0 || shortage_.is_short(), now);
    // A retry has been admitted before.
    return request.selection.tried.empty() &&
           levels_->refuses(service_key_, request.priority, slack, now);
}

void slot_queue::assign_slots()
{
    while (waiting() != 0)
    {
        auto const now = core::clock::now();
        if (is_cost_aware_next())
        {
            if (assign_cost_aware(now))
                continue;
            reject_unservable(now);
            return;
        }
        auto chosen = choose({{}, coverage_permission(), ++selections_}, now);
        if (!chosen)
        {
            reject_unservable(now);
            return;
        }
        auto next = queue_.pop(now);
        while (next && (*next)->done)
            next = queue_.pop(now);
        if (next)
            turns_.serve((*next)->turn);
        if (queue_.size() == 0)
            turns_.restart();
        // Every queued request has stopped waiting, so the slot is released.
        if (!next)
        {
            service_->picker.cancel_attempt(chosen.value(), now);
            return;
        }
        (*next)->assigned = std::move(chosen.value());
        wake(**next);
    }
}

bool slot_queue::is_cost_aware_next()
{
    if (cost_aware_.size() == 0)
        return false;
    auto const other = queue_.top_priority();
    if (!other)
        return true;
    auto const own = cost_aware_.top_priority();
    // Requests of the same priority take turns.
    cost_aware_had_turn_ =
        own < *other || (own == *other && !cost_aware_had_turn_);
    return cost_aware_had_turn_;
}

bool slot_queue::assign_cost_aware(core::time_point now)
{
    auto const round = ++selections_;
    auto const is_eligible = [round](waiter_pointer const& item)
    {
        return item->skipped_in != round;
    };
    while (auto const* const next = cost_aware_.best(now, is_eligible))
    {
        auto const item = *next;
        auto const trial = item->tried.empty()
                               ? coverage_permission()
                               : routing::trial_permission::none;
        auto chosen =
            choose({item->tried, trial, ++selections_, item->preference}, now);
        if (chosen)
        {
            cost_aware_.serve(item);
            control_.room.record_grant(now);
            item->assigned = std::move(chosen.value());
            wake(*item);
            return true;
        }
        // Another request may use an upstream that this one has tried.
        if (item->tried.empty())
            return false;
        item->skipped_in = round;
    }
    return false;
}

void slot_queue::remove_hopeless(core::time_point now)
{
    if (cost_aware_.size() == 0 ||
        now - hopeless_checked_at_ < hopeless_check_interval)
        return;
    hopeless_checked_at_ = now;
    auto const in_flight = attempts_in_flight();
    auto const removed = cost_aware_.remove_hopeless(
        now,
        [&](std::size_t ahead, limits::priority value)
        {
            return control_.shortest_wait(ahead, value, in_flight, now);
        });
    for (auto const& item : removed)
        wake(*item);
}

core::result<routing::pick, refusal_reason>
slot_queue::refuse(limits::shortage_refusal cause, limits::priority value)
{
    record_refusal(cause, value);
    return core::failure(reason_of(cause));
}

void slot_queue::record_refusal(limits::shortage_refusal reason,
                                limits::priority value)
{
    service_->shortage_refusals[static_cast<std::size_t>(value)].increment(
        reason);
    log_shortage(shortage_.record_refusal(core::clock::now()));
}

void slot_queue::record_outcome(bool is_served)
{
    auto const now = core::clock::now();
    coverage_.record_request(is_served, now);
    bool const is_needed = coverage_.is_needed(now);
    if (is_needed == is_covering_)
        return;
    is_covering_ = is_needed;
    constexpr double percent = 100;
    core::log_info(
        is_covering_ ? "coverage_began" : "coverage_ended",
        {{"service", service_->name.value()},
         {"unserved_percent",
          static_cast<unsigned>(coverage_.unserved_share(now) * percent)}});
}

routing::trial_permission slot_queue::coverage_permission() const
{
    return coverage_.permits(core::clock::now())
               ? routing::trial_permission::coverage
               : routing::trial_permission::none;
}

void slot_queue::record_attempt(std::string_view route,
                                health::attempt_result outcome,
                                core::duration time)
{
    auto const now = core::clock::now();
    retries_.record_attempt(outcome == health::attempt_result::refused, now);
    // A request that ran out of time would have taken longer still.
    if (outcome == health::attempt_result::success ||
        outcome == health::attempt_result::timeout)
        control_.work.record(route, time, now);
}

core::duration slot_queue::expected_wait(limits::priority value) const
{
    return control_.expected_wait(queue_.items_ahead_of(value) +
                                      cost_aware_.items_up_to(value) + 1,
                                  value,
                                  attempts_in_flight(),
                                  core::clock::now()) +
           time_until_available();
}

std::size_t slot_queue::attempts_in_flight() const
{
    std::size_t sum = 0;
    if (auto const table = service_->picker.table())
        for (auto const& item : table->entries())
            sum += item.object->in_flight();
    return sum;
}

void slot_queue::log_shortage(limits::shortage_change change) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    if (change == limits::shortage_change::none)
        return;
    auto const now = core::clock::now();
    bool const began = change == limits::shortage_change::began;
    core::log_info(
        began ? "shortage_began" : "shortage_ended",
        {{"service", service_->name.value()},
         {"waiting", waiting()},
         {"in_flight", attempts_in_flight()},
         {"slots_per_s",
          static_cast<std::uint64_t>(control_.room.grants_per_s(now))},
         {"typical_work_ms",
          duration_cast<milliseconds>(control_.work.times(now).typical)
              .count()},
         {"refused_attempts_percent",
          static_cast<std::uint64_t>(retries_.refused_share(now) * 100)},
         {"refused", shortage_.refused()},
         {"admission_level_percent",
          static_cast<std::uint64_t>(
              levels_ == nullptr ? 0
                                 : levels_->value(service_key_, now) * 100)},
         {"lasted_ms",
          duration_cast<milliseconds>(shortage_.duration()).count()}});
}

core::duration slot_queue::estimated_response_time() const
{
    return service_->admission.estimate(
        waiting(), service_->slots.load(std::memory_order_relaxed));
}

core::duration slot_queue::time_until_available() const
{
    auto const now = core::clock::now();
    auto const at = service_->picker.available_at(now);
    return at == core::time_point::max() ? core::duration::zero() : at - now;
}

std::optional<refusal_reason>
slot_queue::unservable_reason(core::time_point available_at,
                              core::time_point give_up_at,
                              core::time_point now) const
{
    // Without any upstream the list may lag behind, so that requests wait. A
    // retired service gets no upstreams any more.
    if (available_at == core::time_point::max())
        return service_->retired ? std::optional(refusal_reason::no_upstream)
                                 : std::nullopt;
    // All upstreams have asked for a pause that lasts too long for the request.
    return available_at > now && available_at > give_up_at
               ? std::optional(refusal_reason::overloaded)
               : std::nullopt;
}

void slot_queue::reject_unservable(core::time_point now)
{
    auto const available_at = service_->picker.available_at(now);
    for (auto& item : waiters_)
    {
        auto const reason =
            unservable_reason(available_at, item.give_up_at, now);
        if (!reason || item.assigned)
            continue;
        item.reason = *reason;
        item.cause = limits::shortage_refusal::paused;
        wake(item);
    }
}

core::time_point slot_queue::wait_deadline(slot_request const& request,
                                           core::time_point now) const
{
    // A request that starts later can't be answered in time.
    auto const last = latest_start(request.until.at());
    if (request.answer_by == core::time_point::max())
        return last;
    auto const max_overrun =
        (request.answer_by - now) * service_->max_overrun_percent / 100;
    return std::min(last, latest_start(request.answer_by) + max_overrun);
}

core::time_point slot_queue::latest_start(core::time_point answer_by) const
{
    return answer_by == core::time_point::max()
               ? answer_by
               : answer_by - service_->admission.assumed_service_time();
}

void slot_queue::schedule()
{
    if (scheduled_ || waiting() == 0)
        return;
    scheduled_ = true;
    timer_.expires_after(poll_interval);
    timer_.async_wait(
        [self = boost::intrusive_ptr<slot_queue>(this)](error_code error)
        {
            self->scheduled_ = false;
            if (error)
                return;
            self->assign_slots();
            self->remove_hopeless(core::clock::now());
            self->schedule();
        });
}

core::result<routing::pick, routing::pick_error>
slot_queue::choose(routing::pick_request const& request, core::time_point now)
{
    auto chosen = service_->picker.choose(request, now);
    if (chosen && chosen.value().tier == routing::pick_tier::trial &&
        request.trial == routing::trial_permission::coverage)
        coverage_.record_trial();
    return chosen;
}

void slot_queue::wake(waiter& item)
{
    item.timer.expires_at(core::time_point::min());
}

} // namespace kumquatloom::entry
