#ifndef KUMQUATLOOM_ENTRY_ROUTE_FINDER_HPP
#define KUMQUATLOOM_ENTRY_ROUTE_FINDER_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/document.hpp>

#include <optional>
#include <string_view>

namespace kumquatloom::entry
{

/// The organisation whose credential the Authorization header proves. The
/// comparison of digests takes constant time.
std::optional<core::organisation_name>
authenticate(document::document const& document,
             std::string_view authorization);

/// The route with the longest prefix that matches the path; null if none does.
document::route_settings const* find_route(document::document const& document,
                                           std::string_view target);

/// Whether the organisation may use the route in the region.
bool may_use(document::route_settings const& route,
             core::organisation_name const& organisation,
             core::region const& region);

} // namespace kumquatloom::entry

#endif
