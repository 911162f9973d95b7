#include <kumquatloom/admission/target_check.hpp>
#include <kumquatloom/entry/entries_page.hpp>
#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/entry/proxy_handler.hpp>
#include <kumquatloom/entry/request_execution.hpp>
#include <kumquatloom/entry/request_logger.hpp>
#include <kumquatloom/entry/retry_jitter.hpp>
#include <kumquatloom/entry/ticket_execution.hpp>

#include <utility>

namespace kumquatloom::entry
{

namespace
{

using admission::refusal_reason;

/// Paths that the proxy handles itself instead of forwarding.
constexpr std::string_view entries_path = "/.kumquatloom/entries";
constexpr std::string_view tickets_path = "/.kumquatloom/tickets";

/// Suggested retry delay. Covers the time in which an instance without a
/// document or upstreams gets them: one read and the transfer to the instance.
constexpr std::chrono::milliseconds refusal_retry_delay{300};

/// Mean of the suggested retry delay while the memory for requests is
/// exhausted: some service times, after which others have ended.
constexpr std::chrono::milliseconds memory_retry_delay{1000};

/// Number of waiting requests of a service at which none starts beside another
/// of its connection, so that the queue is left to first requests.
constexpr std::size_t max_waiting_before_ahead = 32;

/// Delay after which a request that was refused before any attempt may be
/// retried; empty if the reason is permanent.
std::optional<core::duration> retry_delay(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::no_document:
    case refusal_reason::document_unconfirmed:
    case refusal_reason::no_upstream:
    case refusal_reason::draining:
    case refusal_reason::overloaded:
    case refusal_reason::rate_limited:
        return refusal_retry_delay;
    default:
        return std::nullopt;
    }
}

/// The failure domain in the query of an entries request; empty if there is
/// none. Percent-encoding isn't decoded, so an encoded name counts as an
/// unknown domain.
core::failure_domain requested_domain(std::string_view target)
{
    constexpr std::string_view key = "failure_domain=";
    auto const query = target.find('?');
    if (query == std::string_view::npos)
        return {};
    auto const start = target.find(key, query);
    if (start == std::string_view::npos)
        return {};
    auto const value = target.substr(start + key.size());
    return core::failure_domain(std::string(value.substr(0, value.find('&'))));
}

/// Releases an admitted request from the load shedder on destruction.
class shedder_guard
{
public:
    explicit shedder_guard(limits::load_shedder& shedder)
        : shedder_(shedder)
    {
    }

    ~shedder_guard()
    {
        shedder_.release();
    }

    shedder_guard(shedder_guard const&) = delete;
    shedder_guard& operator=(shedder_guard const&) = delete;

private:
    limits::load_shedder& shedder_;
};

} // namespace

proxy_handler::proxy_handler(asio::io_context& context,
                             instance_state& state,
                             std::size_t connection_limit)
    : state_(state)
    , resources_(context, state, connection_limit)
{
}

asio::awaitable<http_response> proxy_handler::handle(inbound_request& inbound)
{
    auto const path = admission::path_of(inbound.header().target);
    auto const reserved_path_prefix = state_.dialect.reserved_path_prefix;
    if (!reserved_path_prefix.empty() && path.starts_with(reserved_path_prefix))
        co_return handle_own_path(inbound, path);
    // A request that starts beside others was admitted just now.
    if (inbound.admitted)
        co_return co_await forward(inbound, *inbound.admitted);
    // Authenticate the caller, find the route and check access to it.
    auto admitted =
        state_.gate.admit(inbound.header(),
                          inbound.received_at,
                          static_cast<std::uint32_t>(resources_.random()));
    if (!admitted)
    {
        log_refusal(state_, inbound, admitted.error());
        inbound.has_ambiguous_framing =
            admission::is_framing_unreliable(admitted.error());
        co_return local_response(
            admitted.error(),
            outcome_of(admitted.error(),
                       ticket_presence_of(inbound.header(), state_.dialect)),
            retry_delay(admitted.error()));
    }
    inbound.admitted = std::move(admitted.value());
    co_return co_await forward(inbound, *inbound.admitted);
}

request::start_decision proxy_handler::admit_ahead(inbound_request& inbound)
{
    using request::start_decision;
    auto const reserved_path_prefix = state_.dialect.reserved_path_prefix;
    if (!reserved_path_prefix.empty() &&
        admission::path_of(inbound.header().target)
            .starts_with(reserved_path_prefix))
        return start_decision::alone;
    // A refusal is counted and logged by handle(), when it is certain.
    auto admitted =
        state_.gate.decide(inbound.header(),
                           inbound.received_at,
                           static_cast<std::uint32_t>(resources_.random()));
    if (!admitted || !allows_others(admitted.value()))
        return start_decision::alone;
    auto const queue = resources_.queues.queue_for(admitted.value().service);
    if (!queue)
        return start_decision::alone;
    if (queue->waiting() >= max_waiting_before_ahead)
        return start_decision::later;
    if (!reserve_response(inbound, queue->response_sizes().bytes()))
        return start_decision::later;
    inbound.admitted = std::move(admitted.value());
    return start_decision::start;
}

void proxy_handler::record_unserved(admission::admitted_request const& admitted)
{
    if (auto const queue = resources_.queues.queue_for(admitted.service))
        queue->record_outcome(false);
}

bool proxy_handler::reserve_response(inbound_request& inbound,
                                     std::size_t expected) const
{
    auto const& callers = state_.settings.callers;
    if (expected <= callers.pipelined_bytes / callers.pipelined_requests)
        return true;
    inbound.response_memory =
        memory_budget::reservation(state_.buffered_answers);
    return inbound.response_memory.grow_to(expected);
}

http_response proxy_handler::refuse(refusal_reason reason,
                                    admission::ticket_presence ticket)
{
    state_.gate.count(reason);
    auto delay = retry_delay(reason);
    if (reason == refusal_reason::memory_exhausted)
        delay = jittered(memory_retry_delay, resources_.random);
    return local_response(reason, outcome_of(reason, ticket), delay);
}

asio::awaitable<http_response>
proxy_handler::forward(inbound_request& inbound,
                       admission::admitted_request const& admitted)
{
    auto const ticket = ticket_presence_of(inbound.header(), state_.dialect);
    // Apply the organisation's rate limit for the route.
    auto const document = state_.document.read();
    if (!state_.rates.try_take(admitted, *document, core::clock::now()))
    {
        record_unserved(admitted);
        log_refusal(state_, inbound, refusal_reason::rate_limited);
        co_return refuse(refusal_reason::rate_limited, ticket);
    }
    // The window of its connection bounds a request that runs ahead. It takes
    // no capacity from the first requests of other connections.
    if (inbound.runs_ahead)
        co_return co_await execute_within_quota(inbound, admitted);
    // Shed the request if the instance is too busy for its priority.
    if (!state_.shedder.try_admit(admitted.priority))
    {
        record_unserved(admitted);
        log_refusal(state_, inbound, refusal_reason::overloaded);
        co_return refuse(refusal_reason::overloaded, ticket);
    }
    shedder_guard const guard(state_.shedder);
    co_return co_await execute_within_quota(inbound, admitted);
}

asio::awaitable<http_response>
proxy_handler::execute_within_quota(inbound_request& inbound,
                                    admission::admitted_request const& admitted)
{
    bool const has_quota = state_.quotas != nullptr &&
                           state_.quotas->is_enabled() &&
                           !admitted.organisation.empty();
    if (!has_quota)
        co_return co_await execute(inbound, admitted);
    auto const organisation = limits::quota_key(admitted.organisation.value());
    auto const decision =
        state_.quotas->try_take(organisation, core::clock::now());
    if (!decision.admitted)
    {
        record_unserved(admitted);
        log_refusal(state_, inbound, refusal_reason::over_quota);
        state_.gate.count(refusal_reason::over_quota);
        co_return local_response(
            refusal_reason::over_quota,
            outcome_of(refusal_reason::over_quota,
                       ticket_presence_of(inbound.header(), state_.dialect)),
            decision.retry_after);
    }
    auto response = co_await execute(inbound, admitted);
    if (inbound.was_not_run)
        state_.quotas->give_back(organisation, core::clock::now());
    co_return response;
}

asio::awaitable<http_response>
proxy_handler::execute(inbound_request& inbound,
                       admission::admitted_request const& admitted)
{
    auto const queue = resources_.queues.queue_for(admitted.service);
    if (!queue)
    {
        log_refusal(state_, inbound, refusal_reason::no_upstream);
        inbound.was_not_run = true;
        co_return refuse(refusal_reason::no_upstream,
                         ticket_presence_of(inbound.header(), state_.dialect));
    }
    // A request that would be cut at the end of a planned stop is left to
    // another instance.
    auto const stop = state_.stop.read();
    if (stop && !stop->accepts(core::clock::now(),
                               queue->estimated_response_time(),
                               admitted.deadline.at()))
    {
        queue->record_outcome(false);
        log_refusal(state_, inbound, refusal_reason::draining);
        inbound.was_not_run = true;
        co_return refuse(refusal_reason::draining,
                         ticket_presence_of(inbound.header(), state_.dialect));
    }
    // The ticket determines whether and by which instance the request is run.
    if (admitted.ticket)
    {
        ticket_execution execution(resources_, inbound, admitted, *queue);
        co_return co_await execution.run();
    }
    request_execution execution(
        resources_, inbound, admitted, *queue, inbound.disconnect);
    co_return co_await execution.run();
}

http_response proxy_handler::handle_own_path(inbound_request& inbound,
                                             std::string_view path)
{
    auto const identity = state_.gate.authenticate_caller(inbound.header());
    if (!identity)
        return local_response(identity.error(), outcome_of(identity.error()));
    auto const& organisation = identity.value().organisation;
    auto const method = inbound.message.method();
    if (path == entries_path && method == http::verb::get)
        return json_response(
            http::status::ok,
            entries_page(state_,
                         organisation,
                         requested_domain(inbound.header().target)));
    if (path == tickets_path && method == http::verb::post)
        return json_response(http::status::ok,
                             tickets_page(state_, organisation));
    return refuse(refusal_reason::unknown_path,
                  admission::ticket_presence::absent);
}

} // namespace kumquatloom::entry
