#ifndef KUMQUATLOOM_ADMISSION_ADMITTED_REQUEST_HPP
#define KUMQUATLOOM_ADMISSION_ADMITTED_REQUEST_HPP

#include <kumquatloom/admission/admission_table.hpp>
#include <kumquatloom/admission/route_table.hpp>
#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/priority.hpp>
#include <kumquatloom/request/deadline.hpp>
#include <kumquatloom/request/idempotency.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <optional>
#include <string>

namespace kumquatloom::admission
{

/// The result of admitting a request: its organisation, its route and the
/// properties that control its execution.
struct admitted_request
{
    /// The table that admitted the request. Owns the texts to which `route`
    /// refers.
    boost::intrusive_ptr<admission_table const> table;
    /// Index of the organisation in the table.
    organisation_index organisation_number{};
    /// The authenticated organisation; empty if the document is open or the
    /// route is public.
    core::organisation_name organisation;
    /// Digest of the credential; nothing if none was required.
    std::optional<core::sha256_digest> credential;
    /// The matched route.
    matched_route route;
    /// The service to which the request is sent.
    core::service_name service;
    /// Whether the request may be executed more than once.
    request::idempotency idempotency = request::idempotency::not_idempotent;
    /// The deadline of the whole request.
    request::deadline deadline{core::time_point()};
    /// Priority stated by the caller, or else that of the organisation, or else
    /// that of the route.
    limits::priority priority = limits::priority::normal;
    /// The ticket as received, not verified yet.
    std::optional<std::string> ticket;
};

/// Whether a request may run beside others of its connection. One with a ticket
/// may be a resend, whose original must not be overtaken.
inline bool allows_others(admitted_request const& admitted)
{
    return admitted.idempotency == request::idempotency::idempotent &&
           !admitted.ticket;
}

} // namespace kumquatloom::admission

#endif
