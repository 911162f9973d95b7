#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/directory/entry_directory.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace kumquatloom::directory
{

namespace
{

/// An instance with its rendezvous score for an organisation.
struct candidate
{
    membership::known_instance const* instance = nullptr;
    std::uint64_t score = 0;
};

/// Orders fresh instances first, then by descending score.
bool is_preferred(candidate const& left, candidate const& right)
{
    if (left.instance->fresh != right.instance->fresh)
        return left.instance->fresh;
    if (left.score != right.score)
        return left.score > right.score;
    return left.instance->id < right.instance->id;
}

/// Appends the best candidates of a group to `chosen`, at most `places` of
/// them. Returns the number of places left.
std::size_t choose_best(std::vector<candidate>& group,
                        std::size_t places,
                        std::vector<candidate>& chosen)
{
    std::size_t const count = std::min(places, group.size());
    std::sort(group.begin(), group.end(), is_preferred);
    chosen.insert(chosen.end(),
                  group.begin(),
                  group.begin() + static_cast<std::ptrdiff_t>(count));
    return places - count;
}

} // namespace

entry_directory::entry_directory(entry_directory_settings settings,
                                 core::failure_domain own_domain,
                                 core::region own_region)
    : settings_(settings)
    , own_domain_(std::move(own_domain))
    , own_region_(std::move(own_region))
{
}

entry_list entry_directory::answer(
    core::organisation_name const& organisation,
    core::failure_domain const& requested_domain,
    std::vector<membership::known_instance> const& instances,
    core::time_point now) const
{
    // The region of the requested failure domain is taken from its instances,
    // which know it better than the caller does.
    core::failure_domain domain = own_domain_;
    core::region region = own_region_;
    for (auto const& instance : instances)
        if (instance.failure_domain == requested_domain &&
            !requested_domain.empty())
        {
            domain = instance.failure_domain;
            region = instance.region;
            break;
        }

    std::vector<candidate> in_domain;
    std::vector<candidate> in_region;
    std::vector<candidate> elsewhere;
    for (auto const& instance : instances)
    {
        if (!is_listable(instance, now))
            continue;
        auto const score =
            core::rendezvous_score(organisation.value(), instance.id.value());
        auto& group = instance.failure_domain == domain ? in_domain
                      : instance.region == region       ? in_region
                                                        : elsewhere;
        group.push_back({&instance, score});
    }

    std::vector<candidate> chosen;
    auto places_left = choose_best(in_domain, settings_.domain_entries, chosen);
    places_left =
        choose_best(in_region, settings_.region_entries + places_left, chosen);
    choose_best(
        elsewhere, settings_.other_region_entries + places_left, chosen);
    std::stable_partition(chosen.begin(),
                          chosen.end(),
                          [](candidate const& item)
                          {
                              return item.instance->fresh;
                          });

    entry_list result;
    result.time_to_live = settings_.time_to_live;
    for (auto const& item : chosen)
        result.entries.push_back({item.instance->id,
                                  item.instance->callers_address,
                                  item.instance->failure_domain,
                                  item.instance->region});
    return result;
}

bool entry_directory::is_listable(membership::known_instance const& instance,
                                  core::time_point now) const
{
    auto const max_age = instance.region == own_region_
                             ? settings_.max_region_age
                             : settings_.max_other_region_age;
    bool const leaving =
        instance.leaving &&
        !core::is_mutated(core::mutation::hand_out_leaving_instance);
    return instance.ready && !leaving && !instance.callers_address.empty() &&
           now - instance.last_heard <= max_age;
}

} // namespace kumquatloom::directory
