#include <kumquatloom/routing/upstream_table.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquatloom::routing
{

namespace
{

using namespace std::chrono_literals;

/// Duration of slow start of a new upstream if the list does not state one.
constexpr core::duration slow_start_time = 10s;
/// How long a departure is remembered; far longer than the delay of the list.
constexpr core::duration departure_retention = 5min;

pick_tier distance_of(upstream_endpoint const& endpoint, locality const& here)
{
    if (endpoint.domain == here.domain)
        return pick_tier::own_domain;
    return endpoint.region == here.region ? pick_tier::own_region
                                          : pick_tier::other_region;
}

} // namespace

upstream_table::pointer
upstream_table::build(pointer const& previous,
                      std::vector<listed_upstream> const& listed,
                      locality const& here,
                      core::time_point now)
{
    boost::intrusive_ptr<upstream_table> const table(new upstream_table);
    for (auto const& item : listed)
    {
        auto const object = find_or_create(previous, item, now);
        bool const departed =
            previous && previous->departed_recently(item.endpoint);
        if (item.leaving || departed)
            object->mark_leaving();
        table->add(object, distance_of(item.endpoint, here));
    }
    std::stable_sort(table->entries_.begin(),
                     table->entries_.end(),
                     [](entry const& left, entry const& right)
                     {
                         return left.distance < right.distance;
                     });
    if (!previous)
        return table;
    table->carry_over_departures(*previous, now);
    for (auto const& item : previous->entries_)
        if (table->find(item.object->endpoint().id) != item.object)
            item.object->mark_leaving();
    return table;
}

boost::intrusive_ptr<upstream>
upstream_table::find(core::upstream_id const& id) const
{
    auto const found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

std::vector<core::upstream_id> upstream_table::live() const
{
    std::vector<core::upstream_id> ids;
    ids.reserve(entries_.size());
    for (auto const& item : entries_)
        if (!item.object->is_leaving())
            ids.push_back(item.object->endpoint().id);
    return ids;
}

std::vector<health::tracked_upstream> upstream_table::tracked() const
{
    std::vector<health::tracked_upstream> result;
    result.reserve(entries_.size());
    for (auto const& item : entries_)
        result.push_back({item.object->endpoint().id,
                          item.object->endpoint().region,
                          item.object->recorder()});
    return result;
}

void upstream_table::publish(
    std::vector<health::standing_decision> const& decisions,
    core::time_point lease_expiry) const
{
    for (auto const& decision : decisions)
        if (auto const object = find(decision.upstream))
            object->publish(decision, lease_expiry);
}

boost::intrusive_ptr<upstream> upstream_table::find_or_create(
    pointer const& previous, listed_upstream const& item, core::time_point now)
{
    auto known = previous ? previous->find(item.endpoint.id) : nullptr;
    // A different endpoint is a different process, which starts cold.
    if (known && known->endpoint() == item.endpoint)
        return known;
    // All upstreams are new to an instance that starts, but they are already
    // warm.
    auto const default_warm_up =
        previous ? slow_start_time : core::duration::zero();
    return new upstream(
        item.endpoint, now, item.warm_up.value_or(default_warm_up));
}

void upstream_table::add(boost::intrusive_ptr<upstream> object,
                         pick_tier distance)
{
    by_id_.emplace(object->endpoint().id, object.get());
    entries_.push_back({std::move(object), distance});
}

bool upstream_table::departed_recently(upstream_endpoint const& endpoint) const
{
    return std::any_of(departures_.begin(),
                       departures_.end(),
                       [&](departure const& earlier)
                       {
                           return earlier.endpoint == endpoint;
                       });
}

void upstream_table::carry_over_departures(upstream_table const& previous,
                                           core::time_point now)
{
    for (auto const& earlier : previous.departures_)
        if (now < earlier.expires_at)
            departures_.push_back(earlier);
    for (auto const& item : previous.entries_)
    {
        auto const& endpoint = item.object->endpoint();
        auto const kept = find(endpoint.id);
        if (item.object->is_leaving() && kept != item.object)
            departures_.push_back({endpoint, now + departure_retention});
    }
}

} // namespace kumquatloom::routing
