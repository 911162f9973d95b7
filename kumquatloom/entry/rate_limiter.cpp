#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/entry/rate_limiter.hpp>

#include <algorithm>
#include <memory>
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

/// The share without grants; 0 if no route limits the organisation any more.
limits::micro_rate base_of(document::document const& document,
                           limits::share_key const& key)
{
    for (auto const& route : document.routes)
        if (route.limit_per_s != 0 && is_prefix_of(route, key.prefix) &&
            std::find(route.organisations.begin(),
                      route.organisations.end(),
                      key.organisation) != route.organisations.end())
            return limits::base_share(route.limit_per_s,
                                      document.expected_entry_instances,
                                      route.regions);
    return 0;
}

} // namespace

rate_limiter::rate_limiter(limits::share_member self)
    : self_(std::move(self))
{
}

rate_limiter::~rate_limiter()
{
    for (auto& place : buckets_)
        for (node* item = place; item != nullptr;)
        {
            std::unique_ptr<node> const dropped(item);
            item = item->next;
        }
}

bool rate_limiter::try_take(admission::admitted_request const& admitted,
                            document::document const& document,
                            core::time_point now)
{
    if (admitted.route.limit_per_s == 0)
        return true;
    limits::share_key const key{std::string(admitted.route.prefix),
                                admitted.organisation};
    auto& place = bucket_of(key);
    auto* item = find(place.load(std::memory_order_acquire), key);
    if (item == nullptr)
        item = &insert(place, key, base_of(document, key), now);
    return item->share.try_take(now);
}

void rate_limiter::rebase(document::document const& document,
                          core::time_point now)
{
    for (auto const& place : buckets_)
        for (auto* item = place.load(); item != nullptr; item = item->next)
            item->share.rebase(base_of(document, item->key), now);
}

void rate_limiter::refresh(core::time_point now)
{
    each(
        [now](limits::rate_share& share)
        {
            share.refresh(now);
        });
}

void rate_limiter::each(std::function<void(limits::rate_share&)> const& visit)
{
    for (auto const& place : buckets_)
        for (auto* item = place.load(); item != nullptr; item = item->next)
            visit(item->share);
}

rate_limiter::bucket& rate_limiter::bucket_of(limits::share_key const& key)
{
    auto const hash = core::stable_hash(key.organisation.value(),
                                        core::stable_hash(key.prefix));
    return buckets_[hash % bucket_count];
}

rate_limiter::node* rate_limiter::find(node* first,
                                       limits::share_key const& key)
{
    for (auto* item = first; item != nullptr; item = item->next)
        if (item->key == key)
            return item;
    return nullptr;
}

rate_limiter::node& rate_limiter::insert(bucket& place,
                                         limits::share_key const& key,
                                         limits::micro_rate base,
                                         core::time_point now)
{
    auto made = std::make_unique<node>(key, self_, base, now);
    made->next = place.load(std::memory_order_acquire);
    while (true)
    {
        // Another thread may have made the same share in the meantime.
        if (auto* const other = find(made->next, key))
            return *other;
        if (place.compare_exchange_weak(made->next,
                                        made.get(),
                                        std::memory_order_acq_rel,
                                        std::memory_order_acquire))
            return *made.release();
    }
}

} // namespace kumquatloom::entry
