#ifndef KUMQUATLOOM_REQUEST_TICKET_DECISION_HPP
#define KUMQUATLOOM_REQUEST_TICKET_DECISION_HPP

#include <kumquatloom/request/outcome.hpp>
#include <kumquatloom/request/stored_response.hpp>
#include <kumquatloom/request/ticket.hpp>

#include <string_view>

namespace kumquatloom::request
{

/// How an instance handles a request that carries a ticket.
enum class ticket_action
{
    /// This instance has claimed the ticket and runs the request.
    run_here,
    /// The request is already running here: wait for its end and decide again.
    wait_here,
    /// Send the stored response.
    send_stored_response,
    /// Forward the request to the ticket's owner.
    forward_to_owner,
    /// The ticket may have been used, and its response is not available.
    used_response_unknown,
    /// The ticket cannot have been used by this organisation.
    invalid_not_run,
    count
};

/// The value of the metric label.
std::string_view to_string(ticket_action value);

/// The outcome to report if the action leads to no response of an upstream. A
/// failure to forward is `unknown` even if nothing was written, since the
/// ticket's request may have been run earlier.
outcome outcome_without_response(ticket_action value);

/// The decision about one request.
struct ticket_decision
{
    ticket_action action = ticket_action::invalid_not_run;
    /// The parsed ticket; empty unless it is well-formed and has a valid
    /// signature.
    ticket item;
    /// The stored response if the action is send_stored_response, otherwise
    /// null.
    stored_response_pointer response;
};

} // namespace kumquatloom::request

#endif
