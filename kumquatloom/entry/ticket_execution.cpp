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

/// How often a resend looks whether the first request has ended. That may be
/// another worker's, which cannot wake this one.
constexpr std::chrono::milliseconds look_interval{2};

} // namespace

ticket_run::ticket_run(worker_parts& parts,
                       call& caller,
                       admission::admitted_request const& admitted,
                       slot_queue& queue)
    : parts_(parts)
    , call_(caller)
    , admitted_(admitted)
    , queue_(queue)
    , timer_(parts.context)
{
}

asio::awaitable<http_response> ticket_run::run()
{
    auto const decision = co_await decide_after_running();
    switch (decision.action)
    {
    case ticket_action::run_here:
        co_return co_await run_here(decision);
    case ticket_action::send_stored_response:
        co_return kept_answer(*decision.response);
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

request::ticket_decision ticket_run::decide() const
{
    auto const& request = call_.request;
    return parts_.state.tickets.decide(
        {*admitted_.ticket,
         admitted_.organisation,
         request::request_digest(as_view(request.method_string()),
                                 as_view(request.target()),
                                 request.body()),
         request.count(forwarded_header) != 0});
}

asio::awaitable<request::ticket_decision> ticket_run::decide_after_running()
{
    auto decision = decide();
    while (decision.action == ticket_action::wait_here &&
           !call_.caller_left.requested() &&
           !admitted_.until.passed(core::clock::now()))
    {
        timer_.expires_after(look_interval);
        co_await timer_.async_wait(as_result);
        decision = decide();
    }
    co_return decision;
}

asio::awaitable<http_response>
ticket_run::run_here(request::ticket_decision const& decision)
{
    // A caller that goes away can ask for the answer by the ticket, so that
    // its leaving does not end the request.
    cancellation never;
    request_run run(parts_, call_, admitted_, queue_, never);
    auto answer = co_await run.run();
    auto kept = keep_answer(answer);
    kept->sequence = decision.item.sequence;
    kept->organisation = decision.item.organisation;
    auto const& request = call_.request;
    kept->request = request::request_digest(as_view(request.method_string()),
                                            as_view(request.target()),
                                            request.body());
    parts_.state.ticket_table.finish(std::move(kept));
    co_return answer;
}

asio::awaitable<http_response>
ticket_run::forward(request::ticket_decision const& decision)
{
    owner_forwarder forwarder(parts_.context, parts_.state);
    auto answer =
        co_await forwarder.forward(call_, decision.item.owner, admitted_.until);
    if (answer)
        co_return std::move(*answer);
    co_return refuse(refusal_reason::ticket_owner_gone,
                     outcome_without_response(decision.action));
}

http_response ticket_run::refuse(refusal_reason reason,
                                 request::outcome outcome) const
{
    parts_.state.gate.count(reason);
    return system_answer(reason, outcome);
}

} // namespace kumquatloom::entry
