#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/upstream_status.hpp>
#include <kumquatloom/request/header_names.hpp>

#include <charconv>

namespace kumquatloom::entry
{

upstream_status parse_upstream_status(http_response const& response)
{
    namespace names = request::header_names;
    upstream_status status;
    status.leaving = response[names::state] == "leaving";
    // The form is "<in flight>/<slots>".
    auto const load = as_view(response[names::load]);
    unsigned number = 0;
    auto const* const end = load.data() + load.size();
    auto const parsed = std::from_chars(load.data(), end, number);
    if (parsed.ec == std::errc() && parsed.ptr != end && *parsed.ptr == '/')
        status.in_flight = number;
    return status;
}

} // namespace kumquatloom::entry
