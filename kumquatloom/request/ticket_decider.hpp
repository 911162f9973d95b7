#ifndef KUMQUATLOOM_REQUEST_TICKET_DECIDER_HPP
#define KUMQUATLOOM_REQUEST_TICKET_DECIDER_HPP

#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/request/ticket_decision.hpp>
#include <kumquatloom/request/ticket_issuer.hpp>
#include <kumquatloom/request/ticket_keys.hpp>
#include <kumquatloom/request/ticket_table.hpp>

#include <string_view>

namespace kumquatloom::request
{

/// A request with a ticket, as it arrived.
struct ticket_request
{
    /// Value of the header field.
    std::string_view text;
    /// The organisation that the credential proved.
    core::organisation_name organisation;
    /// Digest of the request.
    core::sha256_digest digest{};
    /// Whether another instance has passed the request on. It is not passed on
    /// again, so that two instances cannot send it back and forth.
    bool forwarded = false;
};

/// Decides who runs a request that carries a ticket. Used by several threads
/// at once.
class ticket_decider
{
public:
    /// All three must outlive the decider and belong to one incarnation.
    ticket_decider(ticket_issuer const& issuer,
                   ticket_keys const& keys,
                   ticket_table& table);

    /// Decides; for `run_here` the ticket has been claimed. Must be the last
    /// check before the request is run, since a claim cannot be given back.
    ticket_decision decide(ticket_request const& request);

    /// Decisions by action.
    core::counter_family<ticket_action> const& counters() const
    {
        return counters_;
    }

private:
    /// The decision about a ticket that this incarnation issued.
    ticket_decision decide_own(ticket item, ticket_request const& request);
    /// The action for a ticket that has the proof of the fleet.
    ticket_decision decide_issued(ticket item, ticket_request const& request);

    /// Names this incarnation.
    ticket_issuer const& issuer_;
    /// Verify tickets.
    ticket_keys const& keys_;
    /// Tickets of this incarnation.
    ticket_table& table_;
    /// Decisions by action.
    core::counter_family<ticket_action> counters_;
};

} // namespace kumquatloom::request

#endif
