#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/upstream_status.hpp>
#include <kumquatloom/request/header_names.hpp>

#include <charconv>

namespace kumquatloom::entry
{

upstream_notice read_upstream_notice(http_response const& answer)
{
    namespace names = request::header_names;
    upstream_notice notice;
    notice.leaving = answer[names::state] == "leaving";
    // The form is "<in flight>/<slots>".
    auto const load = as_view(answer[names::load]);
    unsigned number = 0;
    auto const* const end = load.data() + load.size();
    auto const read = std::from_chars(load.data(), end, number);
    if (read.ec == std::errc() && read.ptr != end && *read.ptr == '/')
        notice.in_flight = number;
    return notice;
}

} // namespace kumquatloom::entry
