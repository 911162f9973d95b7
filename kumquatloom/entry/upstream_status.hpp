#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_STATUS_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_STATUS_HPP

#include <kumquatloom/entry/http_types.hpp>

#include <optional>

namespace kumquatloom::entry
{

/// What an upstream says about itself in the headers of an answer.
struct upstream_notice
{
    /// Requests that it works on.
    std::optional<unsigned> in_flight;
    /// Whether it is leaving.
    bool leaving = false;
};

/// Reads the notice; malformed headers say nothing.
upstream_notice read_upstream_notice(http_response const& answer);

} // namespace kumquatloom::entry

#endif
