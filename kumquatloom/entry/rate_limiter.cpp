#include <kumquatloom/entry/rate_limiter.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Whether the route has the prefix of a share key, from which the route table
/// has removed trailing slashes.
bool has_prefix(document::route_settings const& route, std::string_view prefix)
{
    std::string_view route_prefix = route.prefix;
    while (!route_prefix.empty() && route_prefix.back() == '/')
        route_prefix.remove_suffix(1);
    return route_prefix == prefix;
}

/// The base share, without grants from peers; 0 if no route limits the
/// organisation any more.
limits::microtoken_rate base_of(document::document const& document,
                                limits::limit_key const& key)
{
    for (auto const& route : document.routes)
        if (route.limit_per_s != 0 && has_prefix(route, key.prefix) &&
            std::find(route.organisations.begin(),
                      route.organisations.end(),
                      key.organisation) != route.organisations.end())
            return limits::base_share(route.limit_per_s,
                                      document.expected_entry_instances,
                                      route.regions);
    return 0;
}

} // namespace

rate_limiter::rate_limiter(limits::share_table_settings const& settings,
                           limits::instance_identity self)
    : shares_(settings, std::move(self))
{
}

bool rate_limiter::try_take(admission::admitted_request const& admitted,
                            document::document const& document,
                            core::time_point now)
{
    if (admitted.route.limit_per_s == 0)
        return true;
    limits::limit_key const key{std::string(admitted.route.prefix),
                                admitted.organisation};
    return shares_.try_take(key, base_of(document, key), now);
}

void rate_limiter::update_base(document::document const& document,
                               core::time_point now)
{
    shares_.update_base(
        [&](limits::limit_key const& key)
        {
            return base_of(document, key);
        },
        now);
}

void rate_limiter::refresh(core::time_point now)
{
    shares_.refresh(now);
}

std::vector<limits::share_request>
rate_limiter::make_requests(core::time_point now)
{
    return shares_.make_requests(now);
}

std::optional<limits::share_grant>
rate_limiter::handle_request(limits::share_request const& request,
                             document::document const& document,
                             core::time_point now)
{
    return shares_.handle_request(request, base_of(document, request.key), now);
}

void rate_limiter::handle_grant(limits::share_grant const& grant,
                                core::time_point now)
{
    shares_.handle_grant(grant, now);
}

} // namespace kumquatloom::entry
