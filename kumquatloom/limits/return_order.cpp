#include <kumquatloom/limits/return_order.hpp>

#include <algorithm>
#include <cstdint>

namespace kumquatloom::limits
{

namespace
{

/// Bound on the organisations of a priority with reservations. Further ones
/// share the rate of the priority without a turn of their own.
constexpr std::size_t max_organisations = 256;

} // namespace

core::duration
return_order::reserve(core::organisation_name const& organisation,
                      priority value,
                      core::duration drain,
                      core::duration interval,
                      core::duration longest,
                      core::time_point now)
{
    auto& own = reserved_[static_cast<std::size_t>(value)];
    auto& organisations = own.by_organisation;
    std::erase_if(organisations,
                  [now](auto const& item)
                  {
                      return item.second <= now;
                  });
    auto at = std::max(now + drain, own.last + interval);
    auto const found = organisations.find(organisation);
    if (found != organisations.end())
        at = std::max(at,
                      found->second + interval * static_cast<std::int64_t>(
                                                     organisations.size()));
    auto const delay = at - now;
    if (delay > longest)
        return delay;
    // An organisation that is behind its own reservations doesn't delay others.
    own.last = std::max(now + drain, own.last + interval);
    if (found != organisations.end())
        found->second = at;
    else if (organisations.size() < max_organisations)
        organisations.emplace(organisation, at);
    return delay;
}

} // namespace kumquatloom::limits
