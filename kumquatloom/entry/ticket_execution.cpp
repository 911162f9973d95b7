#include <kumquatloom/entry/caller_response.hpp>
#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/entry/owner_forwarder.hpp>
#include <kumquatloom/entry/request_execution.hpp>
#include <kumquatloom/entry/ticket_execution.hpp>

#include <utility>

namespace kumquatloom::entry
{

namespace
{

using admission::refusal_reason;
using request::ticket_action;

/// Poll interval of a resent request that waits for the original one to end.
/// The original may run on another worker, which can't wake this one.
constexpr std::chrono::milliseconds poll_interval{2};

} // namespace

ticket_execution::ticket_execution(worker_resources& resources,
                                   inbound_request& inbound,
                                   admission::admitted_request const& admitted,
                                   slot_queue& queue)
    : resources_(resources)
    , inbound_(inbound)
    , admitted_(admitted)
    , queue_(queue)
    , timer_(resources.context)
{
}

asio::awaitable<http_response> ticket_execution::run()
{
    auto const decision = co_await wait_for_decision();
    switch (decision.action)
    {
    case ticket_action::run_here:
        co_return co_await run_here(decision);
    case ticket_action::send_stored_response:
        co_return restore_response(*decision.response);
    case ticket_action::forward_to_owner:
        co_return co_await forward(decision);
    case ticket_action::invalid_not_run:
        co_return refuse(refusal_reason::invalid_ticket,
                         outcome_without_response(decision.action));
    case ticket_action::wait_here:
    case ticket_action::used_response_unknown:
    case ticket_action::count:
        break;
    }
    co_return refuse(refusal_reason::ticket_used,
                     outcome_without_response(decision.action));
}

request::ticket_decision ticket_execution::decide() const
{
    auto const& request = inbound_.message;
    return resources_.state.tickets.decide(
        {*admitted_.ticket,
         admitted_.organisation,
         request::request_digest(as_view(request.method_string()),
                                 as_view(request.target()),
                                 request.body()),
         request.count(forwarded_header) != 0});
}

asio::awaitable<request::ticket_decision> ticket_execution::wait_for_decision()
{
    auto decision = decide();
    while (decision.action == ticket_action::wait_here &&
           !inbound_.disconnect.requested() &&
           !admitted_.deadline.passed(core::clock::now()))
    {
        timer_.expires_after(poll_interval);
        co_await timer_.async_wait(as_result);
        decision = decide();
    }
    co_return decision;
}

asio::awaitable<http_response>
ticket_execution::run_here(request::ticket_decision const& decision)
{
    // A caller that disconnects can fetch the response with its ticket, so a
    // disconnect doesn't cancel the request.
    cancellation never;
    request_execution execution(resources_, inbound_, admitted_, queue_, never);
    auto response = co_await execution.run();
    auto stored = make_stored_response(response);
    stored->sequence = decision.item.sequence;
    stored->organisation = decision.item.organisation;
    auto const& request = inbound_.message;
    stored->request = request::request_digest(as_view(request.method_string()),
                                              as_view(request.target()),
                                              request.body());
    resources_.state.ticket_table.finish(std::move(stored));
    co_return response;
}

asio::awaitable<http_response>
ticket_execution::forward(request::ticket_decision const& decision)
{
    owner_forwarder forwarder(resources_.context, resources_.state);
    auto response = co_await forwarder.forward(
        inbound_, decision.item.owner, admitted_.deadline);
    if (response)
        co_return std::move(*response);
    co_return refuse(refusal_reason::ticket_owner_gone,
                     outcome_without_response(decision.action));
}

http_response ticket_execution::refuse(refusal_reason reason,
                                       request::outcome outcome) const
{
    resources_.state.gate.count(reason);
    return local_response(reason, outcome);
}

} // namespace kumquatloom::entry
