#ifndef KUMQUATLOOM_REQUEST_TICKET_DECISION_HPP
#define KUMQUATLOOM_REQUEST_TICKET_DECISION_HPP

#include <kumquatloom/request/outcome.hpp>
#include <kumquatloom/request/stored_response.hpp>
#include <kumquatloom/request/ticket.hpp>

#include <string_view>

namespace kumquatloom::request
{

/// What an instance does with a request that carries a ticket.
enum class ticket_action
{
    /// This instance has claimed the ticket and runs the request.
    run_here,
    /// The request is running here: wait until it has ended and decide again.
    wait_here,
    /// Send the kept response.
    send_stored_response,
    /// Pass the request on to the owner, in one hop.
    forward_to_owner,
    /// The ticket is used and its response is not known.
    used_response_unknown,
    /// The ticket cannot have been used by this organisation.
    invalid_not_run,
    count
};

/// Text of the metric label.
std::string_view to_string(ticket_action value);

/// Outcome that an answer states if the action, or what follows from it,
/// yields no response. Forwarding that fails is `unknown` even if nothing was
/// written, because the ticket may have been run earlier.
outcome outcome_without_response(ticket_action value);

/// The decision about one request.
struct ticket_decision
{
    /// What to do.
    ticket_action action = ticket_action::invalid_not_run;
    /// The ticket, unless it is malformed.
    ticket item;
    /// The response, for send_stored_response.
    stored_response_pointer response;
};

} // namespace kumquatloom::request

#endif
