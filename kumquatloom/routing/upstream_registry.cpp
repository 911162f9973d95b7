#include <kumquatloom/routing/upstream_registry.hpp>

#include <algorithm>
#include <set>

namespace kumquatloom::routing
{

upstream_registry::upstream_registry(upstream_registry_settings const& settings)
    : settings_(settings)
{
}

bool upstream_registry::record_list_read(core::time_point previous,
                                         core::time_point read_at,
                                         core::time_point now)
{
    if (read_at - previous <= settings_.min_outage)
        return false;
    grace_end_ = now + settings_.grace;
    return true;
}

bool upstream_registry::apply(upstream_change const& change,
                              core::time_point now)
{
    if (!change.entry)
        return remove(change.id, now);
    auto const found = upstreams_.find(change.id);
    if (found == upstreams_.end())
    {
        upstreams_.emplace(change.id, registration{*change.entry, false});
        return true;
    }
    auto& known = found->second;
    bool const affects_routing =
        known.lapsed || known.entry.endpoint != change.entry->endpoint ||
        known.entry.leaving != change.entry->leaving;
    known = {*change.entry, false};
    return affects_routing;
}

bool upstream_registry::replace(std::vector<listed_upstream> const& list,
                                core::time_point now)
{
    std::set<core::upstream_id> listed_ids;
    bool affects_routing = false;
    for (auto const& entry : list)
    {
        listed_ids.insert(entry.endpoint.id);
        affects_routing =
            apply({entry.endpoint.id, entry}, now) || affects_routing;
    }
    std::vector<core::upstream_id> missing;
    for (auto const& [id, item] : upstreams_)
        if (!listed_ids.contains(id))
            missing.push_back(id);
    for (auto const& id : missing)
        affects_routing = remove(id, now) || affects_routing;
    return affects_routing;
}

bool upstream_registry::expire(core::time_point now)
{
    if (now < grace_end_)
        return false;
    return std::erase_if(upstreams_,
                         [](auto const& item)
                         {
                             return item.second.lapsed;
                         }) != 0;
}

std::vector<listed_upstream> upstream_registry::listing() const
{
    std::vector<listed_upstream> result;
    result.reserve(upstreams_.size());
    for (auto const& [id, item] : upstreams_)
        result.push_back(item.entry);
    return result;
}

bool upstream_registry::is_lapsed(core::upstream_id const& id) const
{
    auto const found = upstreams_.find(id);
    return found != upstreams_.end() && found->second.lapsed;
}

std::size_t upstream_registry::lapsed_count() const
{
    std::size_t count = 0;
    for (auto const& [id, item] : upstreams_)
        count += item.lapsed ? 1 : 0;
    return count;
}

std::vector<core::upstream_id> upstream_registry::lapsed() const
{
    std::vector<core::upstream_id> result;
    for (auto const& [id, item] : upstreams_)
        if (item.lapsed)
            result.push_back(id);
    return result;
}

core::duration upstream_registry::grace_left(core::time_point now) const
{
    return now < grace_end_ ? grace_end_ - now : core::duration::zero();
}

void upstream_registry::mark_lapsed(std::vector<core::upstream_id> const& ids,
                                    core::duration grace_left,
                                    core::time_point now)
{
    for (auto const& id : ids)
        if (auto const found = upstreams_.find(id);
            found != upstreams_.end() && !found->second.entry.leaving)
            found->second.lapsed = true;
    if (!ids.empty())
        grace_end_ = std::max(
            grace_end_,
            now + std::min<core::duration>(grace_left, settings_.grace));
}

bool upstream_registry::remove(core::upstream_id const& id,
                               core::time_point now)
{
    auto const found = upstreams_.find(id);
    if (found == upstreams_.end())
        return false;
    // An upstream that was leaving disappears because it has shut down, not
    // because it could not renew its lease during an outage.
    if (now < grace_end_ && !found->second.entry.leaving)
    {
        bool const affects_routing = !found->second.lapsed;
        found->second.lapsed = true;
        return affects_routing;
    }
    upstreams_.erase(found);
    return true;
}

} // namespace kumquatloom::routing
