#ifndef KUMQUATLOOM_ENTRY_KEEP_ALIVE_TIMEOUT_HPP
#define KUMQUATLOOM_ENTRY_KEEP_ALIVE_TIMEOUT_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>

#include <optional>

namespace kumquatloom::entry
{

/// How long a connection may stay idle by the timeout of the answer's
/// Keep-Alive field, less a margin for the way of a request; nothing if the
/// answer states none.
std::optional<core::duration> keep_alive_time(http_response const& answer);

} // namespace kumquatloom::entry

#endif
