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

constexpr std::uint32_t no_route = UINT32_MAX;

/// A prefix without slashes at its end, so that `/a` and `/a/` are the same.
std::string_view without_last_slash(std::string_view prefix)
{
    while (!prefix.empty() && prefix.back() == '/')
        prefix.remove_suffix(1);
    return prefix;
}

std::size_t segments_of(std::string_view prefix)
{
    return static_cast<std::size_t>(
        std::count(prefix.begin(), prefix.end(), '/'));
}

/// A host as routes name it: in lower case and without the port.
std::string plain_host(std::string_view host)
{
    std::string plain(host.substr(0, host.rfind(':')));
    for (char& letter : plain)
        if (letter >= 'A' && letter <= 'Z')
            letter = static_cast<char>(letter - 'A' + 'a');
    return plain;
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

/// Finds organisations by name while a table is built. The largest document
/// names more than a million organisations in its routes, for which a hash
/// table takes a fraction of the time of a binary search.
class route_table::organisation_finder
{
public:
    /// Indexes all organisations.
    explicit organisation_finder(authenticator const& organisations)
        : organisations_(organisations)
        , slots_(std::bit_ceil(2 * organisations.size() + 1), nobody)
    {
        for (std::uint32_t i = 0; i < organisations.size(); ++i)
            slots_[slot_of(organisations.name(organisation_index{i}))] = i;
    }

    /// The index of an organisation, if it is in the document.
    std::optional<std::uint32_t> find(std::string_view name) const
    {
        auto const found = slots_[slot_of(name)];
        return found == nobody ? std::nullopt : std::optional(found);
    }

private:
    /// Marks an empty slot.
    static constexpr std::uint32_t nobody = UINT32_MAX;

    /// The slot of a name, which is empty if there is no such organisation.
    std::size_t slot_of(std::string_view name) const
    {
        auto const mask = slots_.size() - 1;
        auto slot = core::stable_hash(name) & mask;
        while (slots_[slot] != nobody &&
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
    organisation_finder const finder(organisations);
    is_open_ = source.access == document::access_rule::open;
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
        // A split route has no service whose limit could hold.
        auto const timeout = service == source.services.end()
                                 ? settings.deadline
                                 : service->second.timeout;
        add(settings,
            settings.split.empty() ? index_of(settings.service) : 0,
            static_cast<std::uint32_t>(timeout.count()),
            finder,
            region);
    }
    service_indexes_.clear();
    prefixes_.shrink();
    organisations_.shrink_to_fit();
    build_index();
}

core::result<matched_route, refusal_reason>
route_table::match(route_key const& wanted,
                   organisation_index organisation) const
{
    auto const host = by_host_ ? plain_host(wanted.host) : std::string();
    auto prefix =
        without_last_slash(first_segments(wanted.path, max_segments_));
    std::string key = host;
    key.append(prefix);
    while (true)
    {
        auto const first = find(key);
        if (first != no_route && covers(wanted.path, prefix.size()))
            return pick(first, wanted.draw, organisation);
        if (prefix.empty())
            return core::failure(refusal_reason::unknown_path);
        prefix = without_last_slash(prefix.substr(0, prefix.rfind('/')));
        key.resize(host.size() + prefix.size());
    }
}

std::uint32_t route_table::index_of(core::service_name const& name)
{
    auto const [place, added] = service_indexes_.try_emplace(name, 0);
    if (added)
        place->second = services_.add(name.value());
    return place->second;
}

std::string_view route_table::service_of(route const& item,
                                         std::uint32_t draw) const
{
    if (item.parts == 0)
        return services_.at(item.service);
    auto const first = parts_.begin() + item.service;
    auto const last = first + item.parts;
    auto const total = (last - 1)->weight_up_to;
    auto const wanted = total == 0 ? 0 : draw % total;
    auto const part = std::find_if(first,
                                   last - 1,
                                   [wanted](split_part const& candidate)
                                   {
                                       return wanted < candidate.weight_up_to;
                                   });
    return services_.at(part->service);
}

bool route_table::covers(std::string_view path, std::size_t prefix_size) const
{
    return !is_open_ || (path.size() > prefix_size && path[prefix_size] == '/');
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
                      organisation_finder const& organisations,
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
        std::uint64_t weight = 0;
        for (auto const& share : settings.split)
        {
            weight += share.weight;
            parts_.push_back({index_of(share.service), weight});
        }
    }
    item.next = no_route;
    item.repeat = settings.repeat;
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
    auto const prefix = without_last_slash(settings.prefix);
    prefixes_.add(settings.host + std::string(prefix));
    max_segments_ = std::max(max_segments_, segments_of(prefix));
    routes_.push_back(item);
}

void route_table::build_index()
{
    // At most half of the slots are used, so that probing ends soon.
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
route_table::pick(std::uint32_t first,
                  std::uint32_t draw,
                  organisation_index organisation) const
{
    // The organisation's own reason is told only if it may use the route.
    auto reason = refusal_reason::organisation_not_permitted;
    for (auto index = first; index != no_route; index = routes_[index].next)
    {
        auto const& item = routes_[index];
        if (!permits(item, organisation))
            continue;
        if (item.region_permitted)
            return core::success(
                matched_route{index,
                              prefixes_.at(index),
                              service_of(item, draw),
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
    return is_open_ ||
           std::binary_search(organisations_.begin() + item.first_organisation,
                              organisations_.begin() + item.last_organisation,
                              static_cast<std::uint32_t>(organisation));
}

} // namespace kumquatloom::admission
