#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_STATUS_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_STATUS_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/request/wire_dialect.hpp>

#include <optional>

namespace kumquatloom::entry
{

/// Status that an upstream reports in the headers of a response.
struct upstream_status
{
    /// Number of requests in flight at the upstream.
    std::optional<unsigned> in_flight;
    /// Whether the upstream is leaving.
    bool leaving = false;
    /// How long the upstream wants no requests from this instance, if it says
    /// so in a response with status 503.
    std::optional<core::duration> retry_after;
};

/// Parses the status headers; malformed headers are ignored.
upstream_status parse_upstream_status(http_response const& response,
                                      request::wire_dialect const& dialect);

} // namespace kumquatloom::entry

#endif
