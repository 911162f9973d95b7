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

/// A received request that carries a ticket.
struct ticket_request
{
    /// Value of the ticket header field.
    std::string_view text;
    /// The organisation that the credential authenticates.
    core::organisation_name organisation;
    /// Digest of the request.
    core::sha256_digest digest{};
    /// Whether another instance has forwarded the request. It is not forwarded
    /// again, which prevents forwarding loops.
    bool forwarded = false;
};

/// Decides whether a request that carries a ticket is run here, forwarded to
/// the ticket's owner, answered with a stored response or rejected.
/// Thread-safe.
class ticket_decider
{
public:
    /// All arguments must outlive the decider and belong to one incarnation.
    ticket_decider(ticket_issuer const& issuer,
                   ticket_keys const& keys,
                   ticket_table& table);

    /// Decides, and claims the ticket if the decision is `run_here`. Must be
    /// the last check before the request is run, since a claim cannot be
    /// undone.
    ticket_decision decide(ticket_request const& request);

    /// Number of decisions, by action.
    core::counter_family<ticket_action> const& counters() const
    {
        return counters_;
    }

private:
    /// Decides about a ticket that this incarnation issued.
    ticket_decision decide_local(ticket item, ticket_request const& request);
    /// Decides about a ticket with a valid signature.
    ticket_decision decide_verified(ticket item, ticket_request const& request);

    ticket_issuer const& issuer_;
    ticket_keys const& keys_;
    ticket_table& table_;
    core::counter_family<ticket_action> counters_;
};

} // namespace kumquatloom::request

#endif
