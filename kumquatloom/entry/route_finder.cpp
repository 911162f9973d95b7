#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/entry/route_finder.hpp>

#include <algorithm>

namespace kumquatloom::entry
{

std::optional<core::organisation_name>
authenticate(document::document const& document, std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return std::nullopt;
    auto const digest = core::sha256(authorization.substr(scheme.size()));
    std::optional<core::organisation_name> found;
    for (auto const& [name, organisation] : document.organisations)
        for (auto const& credential : organisation.credentials)
            if (core::constant_time_equal(core::as_bytes(credential),
                                          core::as_bytes(digest)))
                found = name;
    return found;
}

document::route_settings const* find_route(document::document const& document,
                                           std::string_view target)
{
    auto const path = target.substr(0, target.find('?'));
    document::route_settings const* best = nullptr;
    for (auto const& route : document.routes)
        if (path.starts_with(route.prefix) &&
            (best == nullptr || route.prefix.size() > best->prefix.size()))
            best = &route;
    return best;
}

bool may_use(document::route_settings const& route,
             core::organisation_name const& organisation,
             core::region const& region)
{
    auto const holds = [](auto const& list, auto const& item)
    {
        return std::find(list.begin(), list.end(), item) != list.end();
    };
    return holds(route.organisations, organisation) &&
           (route.regions.empty() || holds(route.regions, region));
}

} // namespace kumquatloom::entry
