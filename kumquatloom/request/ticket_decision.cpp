#include <kumquatloom/request/ticket_decision.hpp>

namespace kumquatloom::request
{

std::string_view to_string(ticket_action value)
{
    switch (value)
    {
    case ticket_action::run_here:
        return "run-here";
    case ticket_action::wait_here:
        return "wait-here";
    case ticket_action::send_stored_response:
        return "answer-kept";
    case ticket_action::forward_to_owner:
        return "forward-to-owner";
    case ticket_action::used_response_unknown:
        return "used-answer-unknown";
    case ticket_action::invalid_not_run:
        return "invalid-not-run";
    case ticket_action::count:
        break;
    }
    return {};
}

outcome outcome_without_response(ticket_action value)
{
    switch (value)
    {
    // The claim is the proof that nobody has run the request.
    case ticket_action::run_here:
    case ticket_action::invalid_not_run:
        return outcome::not_run;
    case ticket_action::wait_here:
    case ticket_action::send_stored_response:
    case ticket_action::forward_to_owner:
    case ticket_action::used_response_unknown:
    case ticket_action::count:
        break;
    }
    return outcome::unknown;
}

} // namespace kumquatloom::request
