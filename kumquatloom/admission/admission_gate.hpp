#ifndef KUMQUATLOOM_ADMISSION_ADMISSION_GATE_HPP
#define KUMQUATLOOM_ADMISSION_ADMISSION_GATE_HPP

#include <kumquatloom/admission/admission_table.hpp>
#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/admission/header_check.hpp>
#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/admission/request_header_view.hpp>
#include <kumquatloom/admission/revocation_rule.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/rcu_cell.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/request/wire_dialect.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>
#include <optional>

namespace kumquatloom::admission
{

/// The organisation of a request that needs no route, such as a request for the
/// list of entry instances.
struct authenticated_caller
{
    /// The table on which the result is based.
    boost::intrusive_ptr<admission_table const> table;
    /// The authenticated organisation; empty if the document is open.
    core::organisation_name organisation;
};

/// Decides which requests are admitted. Requests are checked by several threads
/// without a lock, also while the document is replaced.
class admission_gate
{
public:
    /// Refuses all requests until a document is published. The dialect must
    /// outlive the gate.
    admission_gate(
        header_check_settings settings,
        core::region region,
        request::wire_dialect const& dialect = request::default_dialect);

    /// Puts a document in force. Blocks until no thread is still reading the
    /// pointer to the previous table, so threads that serve requests must not
    /// call it.
    void publish(document::document const& source);

    /// Authenticates a request and matches it to its route, or returns the
    /// reason for refusing it after counting it. `random_bits` select the
    /// service of a split route.
    core::result<admitted_request, refusal_reason>
    admit(request_header_view const& header,
          core::time_point now,
          std::uint32_t random_bits = 0);

    /// As admit(), without counting a refusal.
    core::result<admitted_request, refusal_reason>
    decide(request_header_view const& header,
           core::time_point now,
           std::uint32_t random_bits) const;

    /// Checks the header and the credential only. Counts refusals.
    core::result<authenticated_caller, refusal_reason>
    authenticate_caller(request_header_view const& header);

    /// Counts a refusal by another component.
    void count(refusal_reason reason)
    {
        refusals_.increment(reason);
    }

    /// Refusals by reason.
    core::counter_family<refusal_reason> const& refusals() const
    {
        return refusals_;
    }

    /// The table in force, or null.
    boost::intrusive_ptr<admission_table const> table() const
    {
        return table_.read();
    }

    /// Decides whether credentials are accepted although the document may be
    /// out of date.
    revocation_rule& revocations()
    {
        return revocations_;
    }

private:
    /// Checks the header, except for the value of the credential.
    std::optional<refusal_reason>
    check_fields(request_header_view const& header,
                 admission_table const* table) const;
    /// Fills in the organisation, or returns the reason for refusing the
    /// request. Requires the table.
    std::optional<refusal_reason>
    authenticate(request_header_view const& header,
                 admitted_request& admitted) const;

    header_check header_check_;
    /// The region of this instance.
    core::region region_;
    /// Names of the header fields that callers use.
    request::wire_dialect const& dialect_;
    /// Credentials and routes of the document in force.
    core::rcu_cell<admission_table> table_;
    /// Limits the age of the document for requests with a credential.
    revocation_rule revocations_;
    /// Refusals by reason.
    core::counter_family<refusal_reason> refusals_;
};

/// Whether a request has a ticket header.
ticket_presence ticket_presence_of(
    request_header_view const& header,
    request::wire_dialect const& dialect = request::default_dialect);

} // namespace kumquatloom::admission

#endif
