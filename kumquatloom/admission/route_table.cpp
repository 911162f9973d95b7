#include <kumquatloom/admission/route_table.hpp>
#include <kumquatloom/core/hashing.hpp>

#include <algorithm>
#include <bit>
#include <optional>
#include <string>

namespace kumquatloom::admission
{

namespace
{

/// Marks an empty slot and the end of a list of alternatives.
constexpr std::uint32_t no_route = UINT32_MAX;

/// A prefix without trailing slashes, so that `/a` and `/a/` are the same.
std::string_view without_trailing_slashes(std::string_view prefix)
{
    while (!prefix.empty() && prefix.back() == '/')
        prefix.remove_suffix(1);
    return prefix;
}

std::size_t count_segments(std::string_view prefix)
{
    return static_cast<std::size_t>(
        std::count(prefix.begin(), prefix.end(), '/'));
}

/// A host in the form that routes use: in lower case and without the port.
std::string normalized_host(std::string_view host)
{
    std::string normalized(host.substr(0, host.rfind(':')));
    for (char& character : normalized)
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character - 'A' + 'a');
    return normalized;
}

/// The first segments of a path, each with the slash before it.
std::string_view first_segments(std::string_view path, std::size_t count)
{
    std::size_t end = 0;
    for (; count > 0 && end < path.size(); --count)
        end = std::min(path.find('/', end + 1), path.size());
    return path.substr(0, end);
}

} // namespace

/// Maps names of organisations to their indexes while a table is built. The
/// routes of the largest document name more than a million organisations, for
/// which a hash table takes a fraction of the time of a binary search.
class route_table::organisation_name_index
{
public:
    /// Indexes all organisations.
    explicit organisation_name_index(authenticator const& organisations)
        : organisations_(organisations)
        , slots_(std::bit_ceil(2 * organisations.size() + 1), empty_slot)
    {
        for (std::uint32_t i = 0; i < organisations.size(); ++i)
            slots_[slot_of(organisations.name(organisation_index{i}))] = i;
    }

    /// The index of an organisation; nothing if the document does not define
    /// it.
    std::optional<std::uint32_t> find(std::string_view name) const
    {
        auto const found = slots_[slot_of(name)];
        return found == empty_slot ? std::nullopt : std::optional(found);
    }

private:
    /// Marks an empty slot.
    static constexpr std::uint32_t empty_slot = UINT32_MAX;

    /// The slot of a name, or the empty slot where the probe sequence ends.
    std::size_t slot_of(std::string_view name) const
    {
        auto const mask = slots_.size() - 1;
        auto slot = core::stable_hash(name) & mask;
        while (slots_[slot] != empty_slot &&
               organisations_.name(organisation_index{slots_[slot]}) != name)
            slot = (slot + 1) & mask;
        return slot;
    }

    /// The organisations.
    authenticator const& organisations_;
    /// Hash table with open addressing.
    std::vector<std::uint32_t> slots_;
};

route_table::route_table(document::document const& source,
                         authenticator const& organisations,
                         core::region const& region)
{
    organisation_name_index const name_index(organisations);
    permits_all_ = source.access == document::access_rule::open ||
                   source.permits_every_organisation;
    requires_slash_ = permits_all_;
    by_host_ = std::any_of(source.routes.begin(),
                           source.routes.end(),
                           [](document::route_settings const& settings)
                           {
                               return !settings.host.empty();
                           });
    routes_.reserve(source.routes.size());
    for (auto const& settings : source.routes)
    {
        auto const service = source.services.find(settings.service);
        // A split route has no single service, so its attempts are limited by
        // its deadline only.
        auto const timeout = service == source.services.end()
                                 ? settings.deadline
                                 : service->second.timeout;
        add(settings,
            settings.split.empty() ? find_or_add_service(settings.service) : 0,
            static_cast<std::uint32_t>(timeout.count()),
            name_index,
            region);
    }
    service_indexes_.clear();
    prefixes_.shrink();
    organisations_.shrink_to_fit();
    build_index();
}

std::optional<route_group>
route_table::find_group(route_key const& request) const
{
    auto const host = by_host_ ? normalized_host(request.host) : std::string();
    auto prefix =
        without_trailing_slashes(first_segments(request.path, max_segments_));
    std::string key = host;
    key.append(prefix);
    while (true)
    {
        auto const first = find(key);
        if (first != no_route && covers(request.path, prefix.size()))
            return route_group{first};
        if (prefix.empty())
            return std::nullopt;
        prefix = without_trailing_slashes(prefix.substr(0, prefix.rfind('/')));
        key.resize(host.size() + prefix.size());
    }
}

bool route_table::is_public(route_group group) const
{
    return routes_[static_cast<std::uint32_t>(group)].is_public;
}

core::result<matched_route, refusal_reason>
route_table::match(route_key const& request,
                   organisation_index organisation) const
{
    auto const group = find_group(request);
    if (!group)
        return core::failure(refusal_reason::unknown_path);
    return select(*group, request.random_bits, organisation);
}

std::uint32_t route_table::find_or_add_service(core::service_name const& name)
{
    auto const [entry, added] = service_indexes_.try_emplace(name, 0);
    if (added)
        entry->second = services_.add(name.value());
    return entry->second;
}

std::string_view route_table::service_of(route const& item,
                                         std::uint32_t random_bits) const
{
    if (item.parts == 0)
        return services_.at(item.service);
    auto const first = parts_.begin() + item.service;
    auto const last = first + item.parts;
    auto const total = (last - 1)->cumulative_weight;
    auto const position = total == 0 ? 0 : random_bits % total;
    auto const part =
        std::find_if(first,
                     last - 1,
                     [position](split_part const& candidate)
                     {
                         return position < candidate.cumulative_weight;
                     });
    return services_.at(part->service);
}

bool route_table::covers(std::string_view path, std::size_t prefix_size) const
{
    return !requires_slash_ ||
           (path.size() > prefix_size && path[prefix_size] == '/');
}

std::size_t route_table::memory() const
{
    return routes_.capacity() * sizeof(route) + prefixes_.memory() +
           services_.memory() +
           (organisations_.capacity() + slots_.capacity()) *
               sizeof(std::uint32_t);
}

void route_table::add(document::route_settings const& settings,
                      std::uint32_t service,
                      std::uint32_t timeout_ms,
                      organisation_name_index const& organisations,
                      core::region const& region)
{
    route item;
    item.service = service;
    item.limit_per_s = settings.limit_per_s;
    item.deadline_ms = static_cast<std::uint32_t>(settings.deadline.count());
    item.timeout_ms = timeout_ms;
    item.target_ms =
        static_cast<std::uint32_t>(settings.target_latency.count());
    item.max_attempts = static_cast<std::uint16_t>(settings.max_attempts);
    item.priority = limits::priority_of_rank(settings.rank);
    if (!settings.split.empty())
    {
        item.service = static_cast<std::uint32_t>(parts_.size());
        item.parts = static_cast<std::uint32_t>(settings.split.size());
        std::uint64_t cumulative_weight = 0;
        for (auto const& part : settings.split)
        {
            cumulative_weight += part.weight;
            parts_.push_back(
                {find_or_add_service(part.service), cumulative_weight});
        }
    }
    item.next = no_route;
    item.repeat = settings.repeat;
    item.is_public = settings.is_public;
    item.region_permitted =
        settings.regions.empty() ||
        std::find(settings.regions.begin(), settings.regions.end(), region) !=
            settings.regions.end();
    item.first_organisation = static_cast<std::uint32_t>(organisations_.size());
    for (auto const& name : settings.organisations)
        if (auto const index = organisations.find(name.value()))
            organisations_.push_back(*index);
    std::sort(organisations_.begin() + item.first_organisation,
              organisations_.end());
    item.last_organisation = static_cast<std::uint32_t>(organisations_.size());
    auto const prefix = without_trailing_slashes(settings.prefix);
    prefixes_.add(settings.host + std::string(prefix));
    max_segments_ = std::max(max_segments_, count_segments(prefix));
    routes_.push_back(item);
}

void route_table::build_index()
{
    // A load factor of at most one half keeps probe sequences short.
    slots_.assign(std::bit_ceil(2 * routes_.size() + 1), no_route);
    for (std::uint32_t i = 0; i < routes_.size(); ++i)
    {
        auto const slot = slot_of(prefixes_.at(i));
        if (slots_[slot] == no_route)
        {
            slots_[slot] = i;
            continue;
        }
        auto last = slots_[slot];
        while (routes_[last].next != no_route)
            last = routes_[last].next;
        routes_[last].next = i;
    }
}

std::size_t route_table::slot_of(std::string_view prefix) const
{
    auto const mask = slots_.size() - 1;
    auto slot = core::stable_hash(prefix) & mask;
    while (slots_[slot] != no_route && prefixes_.at(slots_[slot]) != prefix)
        slot = (slot + 1) & mask;
    return slot;
}

std::uint32_t route_table::find(std::string_view prefix) const
{
    return slots_[slot_of(prefix)];
}

core::result<matched_route, refusal_reason>
route_table::select(route_group group,
                    std::uint32_t random_bits,
                    organisation_index organisation) const
{
    // A refusal names the region only if the organisation may use one of the
    // routes.
    auto reason = refusal_reason::organisation_not_permitted;
    auto index = static_cast<std::uint32_t>(group);
    for (; index != no_route; index = routes_[index].next)
    {
        auto const& item = routes_[index];
        if (!permits(item, organisation))
            continue;
        if (item.region_permitted)
            return core::success(
                matched_route{index,
                              prefixes_.at(index),
                              service_of(item, random_bits),
                              item.repeat,
                              item.limit_per_s,
                              std::chrono::milliseconds(item.deadline_ms),
                              std::chrono::milliseconds(item.timeout_ms),
                              std::chrono::milliseconds(item.target_ms),
                              item.max_attempts,
                              item.priority});
        reason = refusal_reason::region_not_permitted;
    }
    return core::failure(reason);
}

bool route_table::permits(route const& item,
                          organisation_index organisation) const
{
    return permits_all_ || item.is_public ||
           std::binary_search(organisations_.begin() + item.first_organisation,
                              organisations_.begin() + item.last_organisation,
                              static_cast<std::uint32_t>(organisation));
}

} // namespace kumquatloom::admission
