#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/upstream_status.hpp>
#include <kumquatloom/request/header_names.hpp>
#include <kumquatloom/request/retry_after.hpp>

#include <algorithm>
#include <charconv>

namespace kumquatloom::entry
{

namespace
{

/// The longest valid Retry-After of a response; nothing if there is none.
std::optional<core::duration> longest_retry_after(http_response const& response)
{
    std::optional<core::duration> longest;
    auto const [first, last] = response.equal_range(http::field::retry_after);
    for (auto field = first; field != last; ++field)
        if (auto const delay =
                request::parse_retry_after(as_view(field->value())))
            longest = std::max(longest.value_or(*delay), *delay);
    return longest;
}

} // namespace

upstream_status parse_upstream_status(http_response const& response,
                                      request::wire_dialect const& dialect)
{
    namespace names = request::header_names;
    upstream_status status;
    if (!dialect.leaving.empty())
        status.leaving =
            as_view(response[dialect.leaving]) == dialect.leaving_value;
    if (response.result() == http::status::service_unavailable)
        status.retry_after = longest_retry_after(response);
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
