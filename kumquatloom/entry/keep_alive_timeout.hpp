#ifndef KUMQUATLOOM_ENTRY_KEEP_ALIVE_TIMEOUT_HPP
#define KUMQUATLOOM_ENTRY_KEEP_ALIVE_TIMEOUT_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>

#include <optional>

namespace kumquatloom::entry
{

/// How long a connection may stay idle according to the timeout parameter of
/// the response's Keep-Alive field, less a margin for network latency; empty if
/// the response states no timeout.
std::optional<core::duration> keep_alive_timeout(http_response const& response);

} // namespace kumquatloom::entry

#endif
