#ifndef KUMQUATLOOM_ADMISSION_ADMITTED_REQUEST_HPP
#define KUMQUATLOOM_ADMISSION_ADMITTED_REQUEST_HPP

#include <kumquatloom/admission/admission_table.hpp>
#include <kumquatloom/admission/route_table.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/priority.hpp>
#include <kumquatloom/request/deadline.hpp>
#include <kumquatloom/request/idempotency.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <optional>
#include <string>

namespace kumquatloom::admission
{

/// A request whose caller may send it.
struct admitted_request
{
    /// The table that decided; keeps the views of `route` valid.
    boost::intrusive_ptr<admission_table const> table;
    /// Number of the organisation within the table.
    organisation_index organisation_number{};
    /// The organisation that the credential proved.
    core::organisation_name organisation;
    /// The route that answers.
    matched_route route;
    /// The service that answers.
    core::service_name service;
    /// Whether the request may be repeated.
    request::idempotency repeat = request::idempotency::not_idempotent;
    /// The deadline of the whole request.
    request::deadline until{core::time_point()};
    /// Importance in the caller's view.
    limits::priority priority = limits::priority::normal;
    /// Text of the ticket, unverified.
    std::optional<std::string> ticket;
};

} // namespace kumquatloom::admission

#endif
