#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/document_index.hpp>
#include <kumquatloom/document/edit_record.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::document
{

namespace
{

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

/// Returns the JSON pointer to a member of a section.
std::string pointer_to(std::string const& section, std::string_view member)
{
    return core::append_to_pointer("/sections", section) + '/' +
           std::string(member);
}

std::string pointer_to_route(std::string const& section,
                             std::size_t route,
                             std::string_view member)
{
    return pointer_to(section, "routes") + '/' + std::to_string(route) + '/' +
           std::string(member);
}

bool defines_service(section const& content, std::string_view name)
{
    return content.services().find(name).has_value();
}

bool defines_organisation(section const& content, std::string_view name)
{
    return content.organisations().find(name).has_value();
}

bool defines_prefix(section const& content, std::string_view prefix)
{
    auto const& prefixes = content.prefixes();
    for (std::size_t i = 0; i < prefixes.size(); ++i)
        if (prefixes[i] == prefix)
            return true;
    return false;
}

/// Adds a fault for each name in `undefined` that is defined in `before` but no
/// longer in `after`. `undefined` contains the names that the referring section
/// uses and does not define; `pointer` is the location of the removed names.
void check_undefined_names(name_table const& undefined,
                           name_table const& before,
                           name_table const* after,
                           std::string const& pointer,
                           std::string const& referring_section,
                           core::fault_list& faults)
{
    for (std::size_t i = 0; i < undefined.size(); ++i)
    {
        auto const used = undefined[i];
        bool const stays = after != nullptr && after->find(used);
        if (!stays && before.find(used))
            faults.push_back({pointer,
                              "nothing in place of " + quoted(used),
                              "a name that routes of the section " +
                                  referring_section + " use must stay"});
    }
}

void check_platform_key(owner_keys const& owners, core::fault_list& faults)
{
    if (!owners.contains(std::string_view(platform_owner)))
        faults.push_back({core::append_to_pointer("/owners", platform_owner),
                          "nothing",
                          "the key of the owner platform"});
}

} // namespace

document_index::document_index(reduced_document const& reduced)
{
    for (auto const& [name, state] : reduced.sections)
    {
        auto const number = number_of(name);
        sections_[number].content = state.content.get();
        services_.append(state.content->services(), number);
        organisations_.append(state.content->organisations(), number);
        prefixes_.append(state.content->prefixes(), number);
    }
    services_.sort();
    organisations_.sort();
    prefixes_.sort();
}

void document_index::check(reduced_document const& reduced,
                           std::string const& name,
                           section const* candidate,
                           core::fault_list& faults) const
{
    check_removed_names(reduced, name, candidate, faults);
    if (candidate == nullptr)
        return;
    // An empty owner is a fault that the parser has already reported.
    if (!candidate->owner().empty() &&
        !reduced.owners.contains(candidate->owner()))
        faults.push_back({pointer_to(name, "owner"),
                          quoted(candidate->owner()),
                          "one of the document's owners"});
    check_names(name, *candidate, faults);
    check_prefixes(name, *candidate, faults);
    check_references(name, *candidate, faults);
}

void document_index::replace(std::string const& name, section const* candidate)
{
    static name_table const empty;
    auto const number = number_of(name);
    sections_[number].content = candidate;
    services_.replace(candidate ? candidate->services() : empty, number);
    organisations_.replace(candidate ? candidate->organisations() : empty,
                           number);
    prefixes_.replace(candidate ? candidate->prefixes() : empty, number);
    if (candidate != nullptr)
        return;
    sections_[number].name.clear();
    section_numbers_.erase(name);
    free_numbers_.push_back(number);
}

std::size_t document_index::memory_bytes() const
{
    return services_.memory_bytes() + organisations_.memory_bytes() +
           prefixes_.memory_bytes() +
           sections_.capacity() * sizeof(numbered_section);
}

template <typename Defines>
std::string_view
document_index::other_section_defining(name_index const& index,
                                       std::string_view name,
                                       std::string_view own,
                                       Defines const& defines) const
{
    std::string_view other_section;
    index.each_candidate(name,
                         [&](std::uint16_t number)
                         {
                             auto const& other = sections_[number];
                             if (other.name != own && other.content &&
                                 defines(*other.content, name))
                                 other_section = other.name;
                         });
    return other_section;
}

void document_index::check_names(std::string const& name,
                                 section const& candidate,
                                 core::fault_list& faults) const
{
    auto const check_table = [&](name_table const& names,
                                 name_index const& index,
                                 std::string_view member,
                                 auto const& defines)
    {
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            auto const other_section =
                other_section_defining(index, names[i], name, defines);
            if (!other_section.empty())
                faults.push_back(
                    {core::append_to_pointer(pointer_to(name, member),
                                             names[i]),
                     quoted(names[i]),
                     "a name that the section " + std::string(other_section) +
                         " does not use"});
        }
    };
    check_table(candidate.services(), services_, "services", defines_service);
    check_table(candidate.organisations(),
                organisations_,
                "organisations",
                defines_organisation);
}

void document_index::check_prefixes(std::string const& name,
                                    section const& candidate,
                                    core::fault_list& faults) const
{
    auto const& prefixes = candidate.prefixes();
    std::vector<std::pair<std::string_view, std::size_t>> own_prefixes;
    for (std::size_t i = 0; i < prefixes.size(); ++i)
    {
        if (prefixes[i].empty())
            continue;
        own_prefixes.emplace_back(prefixes[i], i);
        auto const other_section = other_section_defining(
            prefixes_, prefixes[i], name, defines_prefix);
        if (!other_section.empty())
            faults.push_back({pointer_to_route(name, i, "prefix"),
                              quoted(prefixes[i]),
                              "a prefix that the section " +
                                  std::string(other_section) +
                                  " does not use"});
    }
    std::sort(own_prefixes.begin(), own_prefixes.end());
    for (std::size_t i = 1; i < own_prefixes.size(); ++i)
        if (own_prefixes[i].first == own_prefixes[i - 1].first)
            faults.push_back(
                {pointer_to_route(name, own_prefixes[i].second, "prefix"),
                 quoted(own_prefixes[i].first),
                 "a prefix that no other route uses"});
}

void document_index::check_references(std::string const& name,
                                      section const& candidate,
                                      core::fault_list& faults) const
{
    // Only names that the section does not define itself are looked up in the
    // other sections.
    auto const exists = [&](name_table const& undefined,
                            name_index const& index,
                            std::string_view referenced,
                            auto const& defines)
    {
        return referenced.empty() || !undefined.find(referenced) ||
               !other_section_defining(index, referenced, name, defines)
                    .empty();
    };
    bool const self_contained = candidate.undefined_services().size() == 0 &&
                                candidate.undefined_organisations().size() == 0;
    if (self_contained)
        return;
    for (std::size_t i = 0; i < candidate.prefixes().size(); ++i)
    {
        auto const service = candidate.route_service(i);
        if (!exists(candidate.undefined_services(),
                    services_,
                    service,
                    defines_service))
            faults.push_back({pointer_to_route(name, i, "service"),
                              quoted(service),
                              "a service of some section"});
        for (std::size_t k = 0; k < candidate.route_organisation_count(i); ++k)
        {
            auto const organisation = candidate.route_organisation(i, k);
            if (!exists(candidate.undefined_organisations(),
                        organisations_,
                        organisation,
                        defines_organisation))
                faults.push_back({pointer_to_route(name, i, "organisations") +
                                      '/' + std::to_string(k),
                                  quoted(organisation),
                                  "an organisation of some section"});
        }
    }
}

void document_index::check_removed_names(reduced_document const& reduced,
                                         std::string const& name,
                                         section const* candidate,
                                         core::fault_list& faults) const
{
    auto const before = reduced.sections.find(name);
    if (before == reduced.sections.end() ||
        before->second.content.get() == candidate)
        return;
    auto const& old = *before->second.content;
    for (auto const& [referring_section, state] : reduced.sections)
    {
        if (referring_section == name)
            continue;
        check_undefined_names(state.content->undefined_services(),
                              old.services(),
                              candidate ? &candidate->services() : nullptr,
                              pointer_to(name, "services"),
                              referring_section,
                              faults);
        check_undefined_names(state.content->undefined_organisations(),
                              old.organisations(),
                              candidate ? &candidate->organisations() : nullptr,
                              pointer_to(name, "organisations"),
                              referring_section,
                              faults);
    }
}

std::uint16_t document_index::number_of(std::string const& name)
{
    auto const found = section_numbers_.find(name);
    if (found != section_numbers_.end())
        return found->second;
    if (free_numbers_.empty())
    {
        free_numbers_.push_back(static_cast<std::uint16_t>(sections_.size()));
        sections_.emplace_back();
    }
    auto const number = free_numbers_.back();
    free_numbers_.pop_back();
    sections_[number].name = name;
    section_numbers_.emplace(name, number);
    return number;
}

void check_document(reduced_document const& reduced,
                    document_index const& index,
                    core::fault_list& faults)
{
    check_platform_key(reduced.owners, faults);
    for (auto const& [name, state] : reduced.sections)
        index.check(reduced, name, state.content.get(), faults);
}

void check_owners(reduced_document const& reduced,
                  owner_keys const& owners,
                  core::fault_list& faults)
{
    check_platform_key(owners, faults);
    for (auto const& [name, state] : reduced.sections)
        if (!owners.contains(state.content->owner()))
            faults.push_back({pointer_to(name, "owner"),
                              quoted(state.content->owner()),
                              "one of the document's owners"});
}

} // namespace kumquatloom::document
