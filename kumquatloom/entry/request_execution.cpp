#include <kumquatloom/admission/credential_check.hpp>
#include <kumquatloom/admission/header_filter.hpp>
#include <kumquatloom/entry/caller_response.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/entry/request_execution.hpp>
#include <kumquatloom/entry/retry_jitter.hpp>
#include <kumquatloom/entry/upstream_exchange.hpp>
#include <kumquatloom/entry/upstream_status.hpp>
#include <kumquatloom/request/return_delay.hpp>
#include <kumquatloom/request/trial_decider.hpp>

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

using admission::refusal_reason;
using health::attempt_result;
using request::retry_reason;

/// Smallest mean retry delay. With less, refused callers would return before
/// any slot is free.
constexpr std::chrono::milliseconds min_retry_delay{100};
/// Time without repeatable requests at an instance after which those that
/// cannot be repeated are spread over all upstreams.
constexpr std::chrono::milliseconds max_exploration_pause{2000};
/// First status code that counts as an upstream error.
constexpr unsigned first_server_error = 500;

bool is_upstream_error(exchange_result const& result)
{
    return result.status == exchange_status::answered &&
           result.response.result_int() >= first_server_error;
}

/// The result of an attempt as health evidence about its upstream.
attempt_result to_attempt_result(exchange_result const& result)
{
    switch (result.status)
    {
    case exchange_status::answered:
        // An upstream that asks for a pause is overloaded, not unhealthy.
        if (result.asks_for_pause)
            return attempt_result::refused;
        return is_upstream_error(result) ? attempt_result::upstream_error
                                         : attempt_result::success;
    case exchange_status::refused:
        return attempt_result::refused;
    case exchange_status::connect_failure:
        return attempt_result::connect_failure;
    case exchange_status::timeout:
        return attempt_result::timeout;
    case exchange_status::wrong_answer:
        return attempt_result::wrong_answer;
    case exchange_status::cut_short:
        return attempt_result::cut_short;
    case exchange_status::no_connection:
    case exchange_status::not_written:
    case exchange_status::withdrawn:
    case exchange_status::answer_too_large:
    case exchange_status::cancelled:
        break;
    }
    return attempt_result::cancelled;
}

/// The retry reason after an attempt whose exchange ended with this status.
retry_reason retry_reason_of(exchange_status status)
{
    switch (status)
    {
    case exchange_status::answered:
        return retry_reason::upstream_error;
    case exchange_status::refused:
    case exchange_status::withdrawn:
        return retry_reason::refused;
    case exchange_status::connect_failure:
    case exchange_status::no_connection:
        return retry_reason::connect_failure;
    case exchange_status::wrong_answer:
    case exchange_status::answer_too_large:
        return retry_reason::wrong_answer;
    case exchange_status::cut_short:
        return retry_reason::cut_short;
    case exchange_status::timeout:
    case exchange_status::not_written:
    case exchange_status::cancelled:
        break;
    }
    return retry_reason::timeout;
}

/// The result of an attempt as a sample for the concurrency limit.
limits::concurrency_sample to_concurrency_sample(attempt_result result)
{
    switch (result)
    {
    case attempt_result::success:
        return limits::concurrency_sample::answered;
    case attempt_result::refused:
    case attempt_result::timeout:
        return limits::concurrency_sample::overload;
    default:
        return limits::concurrency_sample::ignored;
    }
}

} // namespace

request_execution::request_execution(
    worker_resources& resources,
    inbound_request& inbound,
    admission::admitted_request const& admitted,
    slot_queue& queue,
    cancellation& cancel)
    : resources_(resources)
    , inbound_(inbound)
    , admitted_(admitted)
    , policy_(policy_of(admitted, resources.state.policy))
    , queue_(queue)
    , logger_(resources.state, inbound, admitted)
    , cancel_(cancel)
    , attempts_(admitted.idempotency, admitted.deadline)
    , timer_(resources.context)
{
    auto& service = queue.service();
    auto& has_requests = policy_ == request_policy::cost_aware
                             ? service.has_cost_aware_requests
                             : service.has_standard_requests;
    has_requests.store(true, std::memory_order_relaxed);
}

request_execution::~request_execution()
{
    release_retry();
}

asio::awaitable<http_response> request_execution::run()
{
    queue_.service().budget.record_request();
    queue_.retries().record_request(core::clock::now());
    // A trial request at an avoided upstream may fail, so it must be
    // idempotent, and the budget must allow a retry.
    bool const may_be_trial =
        prefers_proven()
            ? reserve_trial()
            : admitted_.idempotency == request::idempotency::idempotent &&
                  queue_.service().budget.allows_retry(core::clock::now());
    auto const trial = may_be_trial ? routing::trial_permission::due
                                    : queue_.coverage_permission();
    auto chosen = co_await queue_.acquire(
        slot_request({{}, trial, resources_.random(), first_preference()}));
    if (!chosen || chosen.value().tier != routing::pick_tier::trial)
        release_retry();
    if (!chosen)
    {
        refusal_ = chosen.error();
        co_return make_response();
    }
    auto const first_attempt_start = core::clock::now();
    if (!has_time_for_attempt())
    {
        queue_.service().picker.cancel_attempt(chosen.value(),
                                               first_attempt_start);
        refusal_ = refusal_reason::draining;
        co_return make_response();
    }
    if (!has_valid_credential())
    {
        queue_.service().picker.cancel_attempt(chosen.value(),
                                               first_attempt_start);
        // The slot would otherwise stay unused until another attempt ends.
        queue_.assign_slots();
        refusal_ = refusal_reason::unknown_credential;
        co_return make_response();
    }
    cancellation_callback on_cancel(
        [this]
        {
            attempts_.mark_caller_disconnected();
            cancel_attempts();
        });
    cancel_.add_callback(on_cancel);
    // Make attempts until one has a response or no other attempt is permitted.
    start_attempt(std::move(chosen.value()), "first");
    while (!response_ || attempts_.running() != 0)
    {
        co_await wait_for_event();
        if (response_)
            cancel_attempts();
        else if (attempts_.running() != 0)
            try_hedge();
        else
        {
            bool const has_retried = co_await try_retry();
            if (!has_retried)
                break;
        }
    }
    inbound_.attempt_time = core::clock::now() - first_attempt_start;
    co_return make_response();
}

void request_execution::start_attempt(routing::pick chosen,
                                      std::string_view cause)
{
    auto const now = core::clock::now();
    auto const number = attempts_.start(now);
    tried_.push_back(chosen.object);
    all_attempts_.push_back(std::make_unique<attempt>(
        std::move(chosen),
        number,
        admitted_.deadline.of_attempt(now, admitted_.route.attempt_timeout)));
    auto& item = *all_attempts_.back();
    logger_.attempt_started(number, item.chosen, cause);
    if (cancel_.requested())
        item.cancel.request();
    if (auto const limits = queue_.service().limits.read())
        if (auto const found =
                limits->by_upstream.find(item.chosen.object.get());
            found != limits->by_upstream.end() &&
            found->second->concurrency.try_acquire())
            item.limit = found->second;
    asio::co_spawn(resources_.context,
                   exchange(item),
                   [this, &item](std::exception_ptr const& failure)
                   {
                       // The only expected exception is std::bad_alloc.
                       if (failure)
                           item.result.status = exchange_status::cut_short;
                       finish_attempt(item);
                   });
}

asio::awaitable<void> request_execution::exchange(attempt& item)
{
    auto const pool = resources_.pools.pool_for(item.chosen.object);
    if (!pool)
    {
        item.result.status = exchange_status::connect_failure;
        co_return;
    }
    upstream_exchange single_exchange(resources_.state,
                                      {inbound_,
                                       admitted_,
                                       attempts_,
                                       item.number,
                                       item.until,
                                       item.cancel,
                                       *item.chosen.object,
                                       resources_.memory});
    single_exchange.use(std::move(inbound_.response_memory));
    item.result = co_await single_exchange.run(*pool);
}

asio::awaitable<void> request_execution::wait_for_event()
{
    while (!has_event_)
    {
        auto const until = next_event();
        if (core::clock::now() >= until)
            break;
        timer_.expires_at(until);
        co_await timer_.async_wait(as_result);
    }
    has_event_ = false;
}

core::time_point request_execution::next_event() const
{
    bool const may_hedge =
        !hedge_decided_ && !response_ && attempts_.attempts() == 1 &&
        attempts_.running() == 1 &&
        admitted_.idempotency == request::idempotency::idempotent;
    return may_hedge ? queue_.service().hedging.hedge_time(
                           attempts_,
                           queue_.service().latency.value(),
                           latest_attempt_start())
                     : core::time_point::max();
}

void request_execution::finish_attempt(attempt& item)
{
    auto const result = to_attempt_result(item.result);
    logger_.attempt_ended(item.number, item.chosen, item.result);
    report_result(item, result);
    apply_upstream_status(item);
    auto& state = resources_.state;
    switch (item.result.status)
    {
    case exchange_status::answered:
        accept_response(item);
        break;
    case exchange_status::refused:
        attempts_.refused(item.number);
        break;
    case exchange_status::cancelled:
        attempts_.cancelled(item.number);
        break;
    case exchange_status::answer_too_large:
        answer_too_large_ = true;
        [[fallthrough]];
    default:
        attempts_.failed(item.number, retry_reason_of(item.result.status));
        break;
    }
    state.retry_counters.attempts.increment(attempts_.sent(item.number));
    item.done = true;
    has_event_ = true;
    timer_.cancel();
    queue_.assign_slots();
}

void request_execution::report_result(attempt const& item,
                                      attempt_result result)
{
    auto const now = core::clock::now();
    auto const& upstream = item.chosen.object;
    auto const latency = item.result.latency;
    auto const time_limit = item.until.at() - attempts_.started(item.number);
    auto& service = queue_.service();
    health::attempt_report const report{
        upstream->endpoint().id, result, latency, time_limit};
    service.picker.finish_attempt(item.chosen, report, now);
    if (resources_.state.attempt_ended)
        resources_.state.attempt_ended(*upstream, report);
    resources_.state.attempt_latency.record(now -
                                            attempts_.started(item.number));
    if (item.limit)
    {
        auto& concurrency = item.limit->concurrency;
        concurrency.release(to_concurrency_sample(result), latency);
        upstream->limit_concurrency(concurrency.limit());
    }
    if (policy_ == request_policy::cost_aware)
        queue_.record_attempt(admitted_.route.prefix,
                              result,
                              now - attempts_.started(item.number));
    if (result != attempt_result::success)
        return;
    service.admission.record(latency, now);
    service.latency.record(latency);
}

void request_execution::apply_upstream_status(attempt const& item)
{
    if (item.result.status != exchange_status::answered &&
        item.result.status != exchange_status::refused)
        return;
    auto const status =
        parse_upstream_status(item.result.response, resources_.state.dialect);
    if (status.in_flight)
        item.chosen.object->report_load(*status.in_flight, core::clock::now());
    // Status 421 shows that another upstream has taken over the address.
    bool const replaced =
        item.result.status == exchange_status::refused &&
        item.result.response.result() == http::status::misdirected_request;
    if (replaced)
        logger_.upstream_replaced(item.chosen);
    if (replaced)
        item.chosen.object->mark_leaving();
}

void request_execution::accept_response(attempt& item)
{
    // For an idempotent request, a server error is passed on only if no other
    // attempt gets a better response.
    if (is_upstream_error(item.result) &&
        attempts_.repeat() == request::idempotency::idempotent && !response_)
    {
        attempts_.failed(item.number, retry_reason::upstream_error);
        return;
    }
    attempts_.completed(item.number);
    if (!response_)
        response_ = std::move(item.result);
}

void request_execution::try_hedge()
{
    auto const now = core::clock::now();
    if (hedge_decided_ || now < next_event())
        return;
    hedge_decided_ = true;
    if (!has_valid_credential())
        return;
    auto const p95 = queue_.service().latency.value();
    if (!queue_.service().hedging.decide(attempts_,
                                         p95,
                                         now,
                                         admitted_.route.max_attempts,
                                         retry_claim(),
                                         latest_attempt_start()))
        return;
    has_reserved_retry_ = false;
    if (auto other = choose_other_upstream())
        start_attempt(std::move(*other), "hedge");
}

asio::awaitable<bool> request_execution::try_retry()
{
    if (answer_too_large_ || !attempts_.last_failure() ||
        !has_time_for_attempt())
        co_return false;
    if (!has_valid_credential())
    {
        refuse_invalid_credential();
        co_return false;
    }
    if (!queue_.service().retries.decide(attempts_,
                                         core::clock::now(),
                                         admitted_.route.max_attempts,
                                         retry_claim()))
        co_return false;
    has_reserved_retry_ = false;
    // A conditional operator with co_await in one branch crashed with g++ 12.
    std::optional<routing::pick> other;
    if (policy_ == request_policy::cost_aware)
        other = co_await wait_for_other_upstream();
    else
        other = choose_other_upstream();
    // The key may have been removed during the wait.
    if (other && !has_valid_credential())
    {
        queue_.service().picker.cancel_attempt(*other, core::clock::now());
        refuse_invalid_credential();
        co_return false;
    }
    if (!other)
        co_return false;
    start_attempt(std::move(*other), to_string(*attempts_.last_failure()));
    co_return true;
}

asio::awaitable<std::optional<routing::pick>>
request_execution::wait_for_other_upstream()
{
    auto chosen =
        co_await queue_.acquire(slot_request({tried_,
                                              routing::trial_permission::none,
                                              resources_.random(),
                                              repeated_preference()}));
    if (chosen)
        co_return std::move(chosen.value());
    resources_.state.retry_counters.denied.increment(
        request::retry_denied_reason::no_upstream);
    co_return std::nullopt;
}

slot_queue::slot_request
request_execution::slot_request(routing::pick_request selection)
{
    return {admitted_.organisation,
            selection,
            admitted_.deadline,
            admitted_.priority,
            answer_by(),
            cancel_,
            inbound_.connection,
            policy_,
            admitted_.route.prefix};
}

core::time_point request_execution::answer_by() const
{
    auto const& route = admitted_.route;
    if (route.target_latency.count() == 0)
        return core::time_point::max();
    auto const by_arrival = inbound_.received_at + route.target_latency;
    if (policy_ != request_policy::cost_aware)
        return by_arrival;
    // A request that comes back after a refusal states the time that is left of
    // the route's time limit. Its target counts from when it was first sent.
    return std::min(by_arrival,
                    admitted_.deadline.at() -
                        (route.deadline - route.target_latency));
}

request::retry_claim request_execution::retry_claim()
{
    if (policy_ != request_policy::cost_aware)
        return {};
    return {&queue_.retries(), admitted_.priority, has_reserved_retry_};
}

bool request_execution::reserve_trial()
{
    auto& service = queue_.service();
    auto const now = core::clock::now();
    auto const due =
        std::min<core::time_point>(answer_by(), admitted_.deadline.at());
    // A waiting request is never a trial, and would keep the retry from others.
    if (queue_.waiting() != 0 ||
        !request::may_carry_trial({admitted_.idempotency,
                                   admitted_.route.max_attempts,
                                   due - now,
                                   service.admission.estimate(0, 1)}))
        return false;
    has_reserved_retry_ = service.budget.try_take(now);
    return has_reserved_retry_;
}

void request_execution::release_retry()
{
    if (std::exchange(has_reserved_retry_, false))
        queue_.service().budget.give_back();
}

bool request_execution::prefers_proven() const
{
    return policy_ == request_policy::cost_aware &&
           resources_.state.policy.prefers_proven_upstreams;
}

routing::success_preference request_execution::repeated_preference() const
{
    return prefers_proven() ? routing::success_preference::recent
                            : routing::success_preference::none;
}

routing::success_preference request_execution::first_preference()
{
    if (!prefers_proven())
        return routing::success_preference::none;
    auto& last_repeatable = queue_.service().last_repeatable_at;
    auto const now = core::clock::now().time_since_epoch();
    bool const may_repeat =
        admitted_.idempotency == request::idempotency::idempotent &&
        admitted_.route.max_attempts > 1;
    if (may_repeat)
    {
        last_repeatable.store(now.count(), std::memory_order_relaxed);
        return routing::success_preference::oldest;
    }
    // Without a second attempt a failure reaches the caller. If no requests
    // that can be repeated explored the other upstreams, however, those would
    // get no requests at all.
    core::duration const last(last_repeatable.load(std::memory_order_relaxed));
    return last.count() != 0 && now - last < max_exploration_pause
               ? routing::success_preference::recent
               : routing::success_preference::none;
}

core::time_point request_execution::latest_attempt_start() const
{
    if (!prefers_proven())
        return core::time_point::max();
    return std::min<core::time_point>(answer_by(), admitted_.deadline.at()) -
           queue_.service().admission.estimate(0, 1);
}

bool request_execution::has_valid_credential() const
{
    auto const table = resources_.state.gate.table();
    return !table || admission::is_credential_valid(admitted_, *table);
}

void request_execution::refuse_invalid_credential()
{
    // If the request may have run, the failure of the attempt is reported.
    if (attempts_.final_outcome() == request::outcome::not_run)
        refusal_ = refusal_reason::unknown_credential;
}

bool request_execution::has_time_for_attempt() const
{
    auto const stop = resources_.state.stop.read();
    return !stop ||
           stop->has_time(core::clock::now(),
                          queue_.service().admission.assumed_service_time());
}

std::optional<routing::pick> request_execution::choose_other_upstream()
{
    auto chosen =
        queue_.service().picker.choose({tried_,
                                        routing::trial_permission::none,
                                        resources_.random(),
                                        repeated_preference()},
                                       core::clock::now());
    if (chosen)
        return std::move(chosen.value());
    resources_.state.retry_counters.denied.increment(
        request::retry_denied_reason::no_upstream);
    return std::nullopt;
}

void request_execution::cancel_attempts()
{
    for (auto const& item : all_attempts_)
        if (!item->done)
            item->cancel.request();
}

http_response request_execution::make_response()
{
    auto& state = resources_.state;
    // A server error is passed on if no attempt got a better response.
    for (auto const& item : all_attempts_)
        if (!response_ && is_upstream_error(item->result))
        {
            attempts_.completed(item->number);
            response_ = std::move(item->result);
        }
    state.retry_counters.outcomes.increment(attempts_.final_outcome());
    queue_.record_outcome(response_.has_value() &&
                          response_->response.result_int() <
                              first_server_error);
    return response_ ? upstream_response() : refuse(final_reason());
}

http_response request_execution::upstream_response()
{
    auto const status = response_->response.result_int();
    // In a dialect with status_states_refusal, this status alone tells the
    // caller that the request was not run, which the upstream has not proven.
    if (resources_.state.dialect.status_states_refusal &&
        admission::implies_not_run(status))
        return refuse(refusal_reason::upstream_failure);
    logger_.answered(status,
                     request::outcome::completed,
                     std::nullopt,
                     attempts_.attempts(),
                     queue_.waiting());
    inbound_.response_memory = std::move(response_->memory);
    queue_.response_sizes().record(inbound_.response_memory.bytes());
    return caller_response(std::move(response_->response));
}

http_response request_execution::refuse(refusal_reason reason)
{
    auto const outcome = attempts_.final_outcome();
    inbound_.was_not_run = outcome == request::outcome::not_run;
    resources_.state.gate.count(reason);
    logger_.answered(http_status(reason),
                     outcome,
                     reason,
                     attempts_.attempts(),
                     queue_.waiting());
    // A removed credential does not become valid later.
    if (outcome != request::outcome::not_run ||
        reason == refusal_reason::unknown_credential)
        return local_response(reason, outcome);
    if (policy_ == request_policy::cost_aware)
        return local_response(reason, outcome, cost_aware_return_delay(reason));
    auto const mean_delay = std::max<core::duration>(
        queue_.estimated_response_time(), min_retry_delay);
    return local_response(reason,
                          outcome,
                          queue_.time_until_available() +
                              jittered(mean_delay, resources_.random));
}

core::duration request_execution::cost_aware_return_delay(refusal_reason reason)
{
    // The slot queue has counted requests that got no attempt.
    if (!refusal_ && reason == refusal_reason::overloaded)
        queue_.record_refusal(limits::shortage_refusal::attempts_refused,
                              admitted_.priority);
    std::uniform_real_distribution<double> fraction(0, 1);
    return request::return_delay(
        queue_.expected_wait(admitted_.priority),
        admitted_.deadline.remaining(core::clock::now()),
        fraction(resources_.random));
}

refusal_reason request_execution::final_reason() const
{
    if (refusal_)
        return *refusal_;
    if (answer_too_large_)
        return refusal_reason::answer_too_large;
    bool const not_run = attempts_.final_outcome() == request::outcome::not_run;
    switch (attempts_.last_failure().value_or(retry_reason::timeout))
    {
    case retry_reason::connect_failure:
        return not_run ? refusal_reason::no_upstream
                       : refusal_reason::upstream_failure;
    case retry_reason::refused:
        return not_run ? refusal_reason::overloaded
                       : refusal_reason::upstream_failure;
    case retry_reason::timeout:
        return not_run ? refusal_reason::overloaded
                       : refusal_reason::deadline_passed;
    case retry_reason::wrong_answer:
        return refusal_reason::wrong_answer;
    default:
        return refusal_reason::upstream_failure;
    }
}

} // namespace kumquatloom::entry
