#include <kumquatloom/request/ticket_decider.hpp>

#include <utility>

namespace kumquatloom::request
{

ticket_decider::ticket_decider(ticket_issuer const& issuer,
                               ticket_keys const& keys,
                               ticket_table& table)
    : issuer_(issuer)
    , keys_(keys)
    , table_(table)
{
}

ticket_decision ticket_decider::decide(ticket_request const& request)
{
    ticket_decision decision;
    if (auto item = parse_ticket(request.text))
    {
        switch (keys_.verify(*item))
        {
        case ticket_proof::issued:
            decision = decide_issued(std::move(*item), request);
            break;
        // The ticket may have been used before its key was retired.
        case ticket_proof::unknown_key:
            decision.action = ticket_action::used_response_unknown;
            break;
        case ticket_proof::forged:
        case ticket_proof::count:
            break;
        }
    }
    counters_.increment(decision.action);
    return decision;
}

ticket_decision ticket_decider::decide_issued(ticket item,
                                              ticket_request const& request)
{
    // Another organisation's ticket never ran a request of this one.
    if (item.organisation != ticket_organisation(request.organisation))
        return {ticket_action::invalid_not_run, std::move(item), nullptr};
    if (item.owner != issuer_.owner())
    {
        auto const action = request.forwarded
                                ? ticket_action::used_response_unknown
                                : ticket_action::forward_to_owner;
        return {action, std::move(item), nullptr};
    }
    // The memory of another incarnation is lost, or is not here yet.
    if (item.incarnation != issuer_.incarnation())
        return {ticket_action::used_response_unknown, std::move(item), nullptr};
    return decide_own(std::move(item), request);
}

ticket_decision ticket_decider::decide_own(ticket item,
                                           ticket_request const& request)
{
    switch (table_.claim(item.sequence))
    {
    case ticket_state::unused:
        return {ticket_action::run_here, std::move(item), nullptr};
    case ticket_state::running:
        return {ticket_action::wait_here, std::move(item), nullptr};
    case ticket_state::finished:
        if (auto kept = table_.responses().find(
                item.sequence, item.organisation, request.digest))
            return {ticket_action::send_stored_response,
                    std::move(item),
                    std::move(kept)};
        break;
    case ticket_state::dropped:
    case ticket_state::count:
        break;
    }
    return {ticket_action::used_response_unknown, std::move(item), nullptr};
}

} // namespace kumquatloom::request
