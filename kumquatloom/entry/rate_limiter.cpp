#include <kumquatloom/entry/rate_limiter.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Whether the key of a share is that of the route: the route table drops
/// slashes at the end of a prefix.
bool is_prefix_of(document::route_settings const& route,
                  std::string_view prefix)
{
    std::string_view text = route.prefix;
    while (!text.empty() && text.back() == '/')
        text.remove_suffix(1);
    return text == prefix;
}

bool limits_key(document::route_settings const& route,
                limits::share_key const& key)
{
    return route.limit_per_s != 0 && is_prefix_of(route, key.prefix) &&
           std::find(route.organisations.begin(),
                     route.organisations.end(),
                     key.organisation) != route.organisations.end();
}

limits::micro_rate base_of_route(document::document const& document,
                                 document::route_settings const& route)
{
    return limits::base_share(
        route.limit_per_s, document.expected_entry_instances, route.regions);
}

} // namespace

rate_limiter::rate_limiter(limits::share_member self)
    : shares_({}, std::move(self))
{
}

bool rate_limiter::try_take(admission::admitted_request const& admitted,
                            document::document const& document,
                            core::time_point now)
{
    if (admitted.route.limit_per_s == 0)
        return true;
    limits::share_key const key{std::string(admitted.route.prefix),
                                admitted.organisation};
    // The route has the same number in the document, unless a newer one has
    // come into force since the request was admitted.
    auto const index = admitted.route.index;
    bool const same = index < document.routes.size() &&
                      limits_key(document.routes[index], key);
    auto const base = same ? base_of_route(document, document.routes[index])
                           : base_of(document, key);
    return shares_.try_take(key, base, now);
}

void rate_limiter::rebase(document::document const& document,
                          core::time_point now)
{
    shares_.rebase(
        [&](limits::share_key const& key)
        {
            return base_of(document, key);
        },
        now);
}

limits::micro_rate rate_limiter::base_of(document::document const& document,
                                         limits::share_key const& key)
{
    for (auto const& route : document.routes)
        if (limits_key(route, key))
            return base_of_route(document, route);
    return 0;
}

} // namespace kumquatloom::entry
