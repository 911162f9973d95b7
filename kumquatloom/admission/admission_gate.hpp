#ifndef KUMQUATLOOM_ADMISSION_ADMISSION_GATE_HPP
#define KUMQUATLOOM_ADMISSION_ADMISSION_GATE_HPP

#include <kumquatloom/admission/admission_table.hpp>
#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/admission/header_check.hpp>
#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/admission/request_header_view.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/rcu_cell.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/request/wire_dialect.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>

namespace kumquatloom::admission
{

/// The organisation of a request outside the routes, such as the one for
/// entries.
struct identified_caller
{
    /// The table that decided.
    boost::intrusive_ptr<admission_table const> table;
    /// The organisation that the credential proved.
    core::organisation_name organisation;
};

/// Decides which requests are served. Used by several threads at once without
/// a lock; documents are replaced while it is in use.
class admission_gate
{
public:
    /// Refuses everything until a document is published. The dialect must
    /// outlive the gate.
    admission_gate(
        header_check_settings settings,
        core::region region,
        request::wire_dialect const& dialect = request::default_dialect);

    /// Puts a document in force. Blocks until no request uses the table of the
    /// one before; not for the threads that serve requests.
    void publish(document::document const& source);

    /// Admits a request to its route, or gives the reason against it, which
    /// has been counted. `draw` are random bits for split routes.
    core::result<admitted_request, refusal_reason>
    admit(request_header_view const& facts,
          core::time_point now,
          std::uint32_t draw = 0);

    /// Checks the header and the credential only.
    core::result<identified_caller, refusal_reason>
    authenticate_caller(request_header_view const& facts);

    /// Counts a refusal that was decided elsewhere.
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

private:
    /// Decides without counting.
    core::result<admitted_request, refusal_reason>
    decide(request_header_view const& facts,
           core::time_point now,
           std::uint32_t draw) const;
    /// Checks the header and the credential without counting.
    core::result<organisation_index, refusal_reason>
    check_caller(request_header_view const& facts,
                 admission_table const* table) const;

    /// Checks headers.
    header_check header_check_;
    /// The region of this instance.
    core::region region_;
    /// How callers mark their requests.
    request::wire_dialect const& dialect_;
    /// What the document in force says.
    core::rcu_cell<admission_table> table_;
    /// Refusals by reason.
    core::counter_family<refusal_reason> refusals_;
};

/// Whether a request carries the header of a ticket.
ticket_presence ticket_presence_of(
    request_header_view const& facts,
    request::wire_dialect const& dialect = request::default_dialect);

} // namespace kumquatloom::admission

#endif
