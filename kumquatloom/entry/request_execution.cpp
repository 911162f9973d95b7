#include <kumquatloom/admission/header_filter.hpp>
#include <kumquatloom/entry/caller_response.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/entry/request_execution.hpp>
#include <kumquatloom/entry/upstream_exchange.hpp>
#include <kumquatloom/entry/upstream_status.hpp>

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

/// Bounds of the random factor of the time after which callers may come back.
constexpr double least_spread = 0.5;
constexpr double most_spread = 1.5;
/// Least mean of that time: less would bring a refused caller back before any
/// slot is free.
constexpr std::chrono::milliseconds least_come_back{100};
/// Status codes from here on blame the upstream.
constexpr unsigned first_server_error = 500;

bool is_upstream_error(exchange_result const& result)
{
    return result.end == exchange_end::answered &&
           result.answer.result_int() >= first_server_error;
}

/// What the end of an attempt says about its upstream.
attempt_result judge(exchange_result const& result)
{
    switch (result.end)
    {
    case exchange_end::answered:
        return is_upstream_error(result) ? attempt_result::upstream_error
                                         : attempt_result::success;
    case exchange_end::refused:
        return attempt_result::refused;
    case exchange_end::connect_failure:
        return attempt_result::connect_failure;
    case exchange_end::timeout:
        return attempt_result::timeout;
    case exchange_end::wrong_answer:
        return attempt_result::wrong_answer;
    case exchange_end::cut_short:
        return attempt_result::cut_short;
    case exchange_end::no_connection:
    case exchange_end::not_written:
    case exchange_end::answer_too_large:
    case exchange_end::cancelled:
        break;
    }
    return attempt_result::cancelled;
}

/// The reason for another attempt after one that ended like this.
retry_reason retry_reason_of(exchange_end end)
{
    switch (end)
    {
    case exchange_end::answered:
        return retry_reason::upstream_error;
    case exchange_end::refused:
        return retry_reason::refused;
    case exchange_end::connect_failure:
    case exchange_end::no_connection:
        return retry_reason::connect_failure;
    case exchange_end::wrong_answer:
    case exchange_end::answer_too_large:
        return retry_reason::wrong_answer;
    case exchange_end::cut_short:
        return retry_reason::cut_short;
    case exchange_end::timeout:
    case exchange_end::not_written:
    case exchange_end::cancelled:
        break;
    }
    return retry_reason::timeout;
}

/// What the end of an attempt says about the load of its upstream.
limits::concurrency_sample sample_of(attempt_result result)
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

request_run::request_run(worker_parts& parts,
                         call& caller,
                         admission::admitted_request const& admitted,
                         slot_queue& queue,
                         cancellation& ended)
    : parts_(parts)
    , call_(caller)
    , admitted_(admitted)
    , queue_(queue)
    , journal_(parts.state, caller, admitted)
    , ended_(ended)
    , attempts_(admitted.repeat, admitted.until)
    , wake_(parts.context)
{
}

asio::awaitable<http_response> request_run::run()
{
    queue_.service().budget.record_request();
    // A trial may fail, so that its retry must be paid for.
    bool const may_be_trial =
        admitted_.repeat == request::idempotency::idempotent &&
        queue_.service().budget.allows_retry(core::clock::now());
    // Wait for a slot at an upstream.
    auto const target = admitted_.route.target_latency;
    auto chosen =
        co_await queue_.take({admitted_.organisation,
                              {{}, may_be_trial, parts_.random()},
                              admitted_.until,
                              admitted_.priority,
                              target.count() == 0 ? core::time_point::max()
                                                  : call_.received + target,
                              ended_});
    if (!chosen)
    {
        refusal_ = chosen.error();
        co_return conclude();
    }
    auto const begin = core::clock::now();
    interruption on_end(
        [this]
        {
            attempts_.mark_caller_disconnected();
            cancel_attempts();
        });
    ended_.wait_for(on_end);
    // Make attempts until one has an answer or another one is not permitted.
    start(std::move(chosen.value()), "first");
    while (!answer_ || attempts_.running() != 0)
    {
        co_await wait_for_event();
        if (answer_)
            cancel_attempts();
        else if (attempts_.running() != 0)
            hedge();
        else if (!retry())
            break;
    }
    call_.attempts = core::clock::now() - begin;
    co_return conclude();
}

void request_run::start(routing::pick chosen, std::string_view cause)
{
    auto const now = core::clock::now();
    auto const number = attempts_.start(now);
    tried_.push_back(chosen.object);
    running_.push_back(std::make_unique<attempt>(
        std::move(chosen),
        number,
        admitted_.until.of_attempt(now, admitted_.route.attempt_timeout)));
    auto& item = *running_.back();
    journal_.attempt_started(number, item.chosen, cause);
    if (ended_.requested())
        item.ended.request();
    if (auto const limits = queue_.service().limits.read())
        if (auto const found =
                limits->by_upstream.find(item.chosen.object.get());
            found != limits->by_upstream.end() &&
            found->second->concurrency.try_acquire())
            item.limit = found->second;
    asio::co_spawn(parts_.context,
                   exchange(item),
                   [this, &item](std::exception_ptr const& failure)
                   {
                       // Only a lack of memory gets here.
                       if (failure)
                           item.result.end = exchange_end::cut_short;
                       finish(item);
                   });
}

asio::awaitable<void> request_run::exchange(attempt& item)
{
    auto const pool = parts_.pools.of(item.chosen.object);
    if (!pool)
    {
        item.result.end = exchange_end::connect_failure;
        co_return;
    }
    upstream_exchange exchange(parts_.state,
                               {call_,
                                admitted_.organisation,
                                attempts_,
                                item.number,
                                item.until,
                                item.ended,
                                item.chosen.object->endpoint()});
    item.result = co_await exchange.run(*pool);
}

asio::awaitable<void> request_run::wait_for_event()
{
    while (!event_)
    {
        auto const until = next_event();
        if (core::clock::now() >= until)
            break;
        wake_.expires_at(until);
        co_await wake_.async_wait(as_result);
    }
    event_ = false;
}

core::time_point request_run::next_event() const
{
    bool const may_hedge = !hedge_decided_ && !answer_ &&
                           attempts_.attempts() == 1 &&
                           attempts_.running() == 1 &&
                           admitted_.repeat == request::idempotency::idempotent;
    return may_hedge ? queue_.service().hedging.hedge_time(
                           attempts_, queue_.service().latency.value())
                     : core::time_point::max();
}

void request_run::finish(attempt& item)
{
    auto const result = judge(item.result);
    journal_.attempt_ended(item.number, item.chosen, item.result);
    report(item, result);
    read_notices(item);
    auto& state = parts_.state;
    switch (item.result.end)
    {
    case exchange_end::answered:
        keep_answer(item);
        break;
    case exchange_end::refused:
        attempts_.refused(item.number);
        break;
    case exchange_end::cancelled:
        attempts_.cancelled(item.number);
        break;
    case exchange_end::answer_too_large:
        answer_too_large_ = true;
        [[fallthrough]];
    default:
        attempts_.failed(item.number, retry_reason_of(item.result.end));
        break;
    }
    state.retry_counters.attempts.increment(attempts_.sent(item.number));
    item.done = true;
    event_ = true;
    wake_.cancel();
    queue_.pump();
}

void request_run::report(attempt const& item, attempt_result result)
{
    auto const now = core::clock::now();
    auto const& upstream = item.chosen.object;
    auto const latency = item.result.latency;
    auto const limit = item.until.at() - attempts_.started(item.number);
    auto& service = queue_.service();
    health::attempt_report const told{
        upstream->endpoint().id, result, latency, limit};
    service.picker.finish_attempt(item.chosen, told, now);
    if (parts_.state.attempt_ended)
        parts_.state.attempt_ended(*upstream, told);
    parts_.state.attempt_latency.record(now - attempts_.started(item.number));
    if (item.limit)
    {
        auto& concurrency = item.limit->concurrency;
        concurrency.release(sample_of(result), latency);
        upstream->limit_concurrency(concurrency.limit());
    }
    if (result != attempt_result::success)
        return;
    service.admission.record(latency, now);
    service.latency.record(latency);
}

void request_run::read_notices(attempt const& item)
{
    if (item.result.end != exchange_end::answered &&
        item.result.end != exchange_end::refused)
        return;
    auto const notice = read_upstream_notice(item.result.answer);
    if (notice.in_flight)
        item.chosen.object->report_load(*notice.in_flight, core::clock::now());
    // Another upstream has taken over the address.
    bool const replaced =
        item.result.end == exchange_end::refused &&
        item.result.answer.result() == http::status::misdirected_request;
    if (replaced)
        journal_.upstream_replaced(item.chosen);
    if (notice.leaving || replaced)
        item.chosen.object->mark_leaving();
}

void request_run::keep_answer(attempt& item)
{
    // An error of an idempotent request is passed on only if no other upstream
    // is to be tried; another attempt may still have a better answer.
    if (is_upstream_error(item.result) &&
        attempts_.repeat() == request::idempotency::idempotent && !answer_)
    {
        attempts_.failed(item.number, retry_reason::upstream_error);
        return;
    }
    attempts_.completed(item.number);
    if (!answer_)
        answer_ = std::move(item.result);
}

void request_run::hedge()
{
    auto const now = core::clock::now();
    if (hedge_decided_ || now < next_event())
        return;
    hedge_decided_ = true;
    auto const p95 = queue_.service().latency.value();
    if (!queue_.service().hedging.decide(
            attempts_, p95, now, admitted_.route.max_attempts))
        return;
    if (auto other = choose_another())
        start(std::move(*other), "hedge");
}

bool request_run::retry()
{
    if (answer_too_large_)
        return false;
    if (!attempts_.last_failure())
        return false;
    if (!queue_.service().retries.decide(
            attempts_, core::clock::now(), admitted_.route.max_attempts))
        return false;
    auto other = choose_another();
    if (!other)
        return false;
    start(std::move(*other), to_string(*attempts_.last_failure()));
    return true;
}

std::optional<routing::pick> request_run::choose_another()
{
    auto chosen = queue_.service().picker.choose(
        {tried_, false, parts_.random()}, core::clock::now());
    if (chosen)
        return std::move(chosen.value());
    parts_.state.retry_counters.denied.increment(
        request::retry_denied_reason::no_upstream);
    return std::nullopt;
}

void request_run::cancel_attempts()
{
    for (auto const& item : running_)
        if (!item->done)
            item->ended.request();
}

http_response request_run::conclude()
{
    auto& state = parts_.state;
    // Without a better one, the error of an upstream is the answer.
    for (auto const& item : running_)
        if (!answer_ && is_upstream_error(item->result))
        {
            attempts_.completed(item->number);
            answer_ = std::move(item->result);
        }
    state.retry_counters.outcomes.increment(attempts_.final_outcome());
    return answer_ ? answer_of_upstream() : refuse(final_reason());
}

http_response request_run::answer_of_upstream()
{
    auto const status = answer_->answer.result_int();
    // Without the upstream's proof such a status would be a false promise.
    if (parts_.state.dialect.status_states_refusal &&
        admission::implies_not_run(status))
        return refuse(refusal_reason::upstream_failure);
    journal_.answered(status,
                      request::outcome::completed,
                      std::nullopt,
                      attempts_.attempts(),
                      queue_.waiting());
    call_.memory = std::move(answer_->memory);
    return caller_answer(std::move(answer_->answer));
}

http_response request_run::refuse(refusal_reason reason)
{
    auto const outcome = attempts_.final_outcome();
    parts_.state.gate.count(reason);
    journal_.answered(http_status(reason),
                      outcome,
                      reason,
                      attempts_.attempts(),
                      queue_.waiting());
    if (outcome != request::outcome::not_run)
        return system_answer(reason, outcome);
    // Spreads the callers that were refused together.
    std::uniform_real_distribution<double> spread(least_spread, most_spread);
    auto const room =
        std::max<core::duration>(queue_.time_to_room(), least_come_back);
    return system_answer(reason,
                         outcome,
                         std::chrono::duration_cast<core::duration>(
                             room * spread(parts_.random)));
}

refusal_reason request_run::final_reason() const
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
