#include <kumquatloom/membership/digest_builder.hpp>
#include <kumquatloom/membership/region_digest_table.hpp>

#include <algorithm>

namespace kumquatloom::membership
{

region_digest_table::region_digest_table(region_digest_table_settings settings)
    : settings_(settings)
{
}

void region_digest_table::receive(peer::cell_digest const& digest,
                                  core::time_point now)
{
    cell_key const key(digest.region, digest.cell);
    if (!cells_.contains(key) && cells_.size() >= settings_.max_cells)
        return;
    auto const address = settings::parse_endpoint(digest.relay_address);
    if (!address)
        return;
    cells_[key] = {digest.lowest_offset,
                   digest.highest_offset,
                   digest.relay,
                   *address,
                   now};
    for (auto const& item : digest.members)
        receive_member(item, digest, now);
}

void region_digest_table::expire(core::time_point now)
{
    std::erase_if(members_,
                  [this, now](auto const& entry)
                  {
                      return now - entry.second.instance.last_heard >=
                             settings_.member_lifetime;
                  });
    std::erase_if(cells_,
                  [this, now](auto const& entry)
                  {
                      return now - entry.second.received >=
                             settings_.member_lifetime;
                  });
}

std::vector<peer::cell_digest>
region_digest_table::digests_of(core::region const& region,
                                core::time_point now) const
{
    std::vector<peer::cell_digest> result;
    for (auto const& [key, summary] : cells_)
    {
        if (key.first != region)
            continue;
        digest_builder builder(
            region, key.second, summary.lowest_offset, summary.highest_offset);
        for (auto const& entry : members_)
        {
            auto const& item = entry.second;
            if (item.instance.region != region || item.cell != key.second)
                continue;
            builder.add({item.instance.id,
                         item.incarnation,
                         item.instance.callers_address,
                         item.peer_address,
                         0,
                         item.instance.ready,
                         item.instance.fresh,
                         item.instance.leaving,
                         std::chrono::ceil<std::chrono::milliseconds>(
                             now - item.instance.last_heard)},
                        item.instance.failure_domain);
        }
        for (auto& part : builder.finish())
            result.push_back(std::move(part));
    }
    return result;
}

void region_digest_table::receive_member(peer::digest_member const& item,
                                         peer::cell_digest const& digest,
                                         core::time_point now)
{
    if (item.domain_index >= digest.domains.size())
        return;
    auto found = members_.find(item.id);
    if (found == members_.end())
    {
        if (members_.size() >= settings_.max_members)
            return;
        found = members_.emplace(item.id, remote_member()).first;
    }
    auto& known = found->second;
    // An outdated digest must not revive an earlier incarnation.
    if (item.incarnation < known.incarnation)
        return;
    if (item.incarnation > known.incarnation)
    {
        known = remote_member();
        known.incarnation = item.incarnation;
    }
    bool const newer = now - item.age >= known.instance.last_heard;
    known.instance.leaving = known.instance.leaving || item.leaving;
    if (!newer)
        return;
    known.cell = digest.cell;
    known.peer_address = item.peer_address;
    known.instance.id = item.id;
    known.instance.callers_address = item.callers_address;
    known.instance.failure_domain = digest.domains[item.domain_index].name;
    known.instance.region = digest.region;
    known.instance.last_heard = now - item.age;
    known.instance.ready = item.ready;
    known.instance.fresh = item.fresh;
}

} // namespace kumquatloom::membership
