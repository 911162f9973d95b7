#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_STATUS_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_STATUS_HPP

#include <kumquatloom/entry/http_types.hpp>

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
};

/// Parses the status headers; malformed headers are ignored.
upstream_status parse_upstream_status(http_response const& response);

} // namespace kumquatloom::entry

#endif
