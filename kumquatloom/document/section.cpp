#include <kumquatloom/document/section.hpp>

#include <boost/assert.hpp>

#include <set>

namespace kumquatloom::document
{

namespace
{

using name_set = std::set<std::string_view>;

name_table table_of(name_set const& names)
{
    return name_table(
        std::vector<std::string_view>(names.begin(), names.end()));
}

/// Number of a name in one of two tables, of which the second is numbered after
/// the first.
std::uint32_t number_of(std::string_view name,
                        name_table const& own,
                        name_table const& undefined)
{
    if (auto const index = own.find(name))
        return *index;
    auto const index = undefined.find(name);
    BOOST_ASSERT(index);
    return static_cast<std::uint32_t>(own.size()) + *index;
}

std::string_view name_of(std::uint32_t number,
                         name_table const& own,
                         name_table const& undefined)
{
    return number < own.size() ? own[number] : undefined[number - own.size()];
}

template <typename Value>
std::size_t bytes_of(std::vector<Value> const& values)
{
    return values.capacity() * sizeof(Value);
}

} // namespace

section::section(section_content const& content)
    : owner_(content.owner)
{
    pack_services(content);
    pack_organisations(content);
    pack_undefined_names(content);
    pack_routes(content);
}

void section::pack_services(section_content const& content)
{
    std::vector<std::string_view> names;
    service_settings_.reserve(content.services.size());
    for (auto const& [name, service] : content.services)
    {
        names.emplace_back(name.value());
        service_settings_.push_back(service);
    }
    services_ = name_table(names);
}

void section::pack_organisations(section_content const& content)
{
    std::vector<std::string_view> names;
    std::size_t digest_count = 0;
    for (auto const& [name, organisation] : content.organisations)
    {
        names.emplace_back(name.value());
        digest_count += organisation.credentials.size();
    }
    organisations_ = name_table(names);
    credentials_.reserve(digest_count);
    credential_ends_.reserve(names.size());
    for (auto const& [name, organisation] : content.organisations)
    {
        credentials_.insert(credentials_.end(),
                            organisation.credentials.begin(),
                            organisation.credentials.end());
        credential_ends_.push_back(
            static_cast<std::uint32_t>(credentials_.size()));
    }
}

void section::pack_undefined_names(section_content const& content)
{
    name_set services;
    name_set organisations;
    name_set regions;
    for (auto const& route : content.routes)
    {
        if (!content.services.contains(route.service))
            services.insert(route.service.value());
        for (auto const& name : route.organisations)
            if (!content.organisations.contains(name))
                organisations.insert(name.value());
        for (auto const& name : route.regions)
            regions.insert(name.value());
    }
    undefined_services_ = table_of(services);
    undefined_organisations_ = table_of(organisations);
    regions_ = table_of(regions);
}

void section::pack_routes(section_content const& content)
{
    std::vector<std::string_view> prefixes;
    std::size_t organisation_count = 0;
    std::size_t region_count = 0;
    for (auto const& route : content.routes)
    {
        prefixes.emplace_back(route.prefix);
        organisation_count += route.organisations.size();
        region_count += route.regions.size();
    }
    prefixes_ = name_table(prefixes);
    routes_.reserve(content.routes.size());
    route_organisations_.reserve(organisation_count);
    route_regions_.reserve(region_count);
    for (auto const& route : content.routes)
    {
        for (auto const& name : route.organisations)
            route_organisations_.push_back(number_of(
                name.value(), organisations_, undefined_organisations_));
        for (auto const& name : route.regions)
            route_regions_.push_back(*regions_.find(name.value()));
        compact_route packed;
        packed.service =
            number_of(route.service.value(), services_, undefined_services_);
        packed.organisations_end =
            static_cast<std::uint32_t>(route_organisations_.size());
        packed.regions_end = static_cast<std::uint32_t>(route_regions_.size());
        packed.limit_per_s = route.limit_per_s;
        packed.deadline_ms = static_cast<std::uint32_t>(route.deadline.count());
        packed.repeat = route.repeat;
        routes_.push_back(packed);
    }
}

section_content section::expand() const
{
    section_content content;
    content.owner = owner_;
    for (std::size_t i = 0; i < services_.size(); ++i)
        content.services.emplace_hint(
            content.services.end(),
            core::service_name(std::string(services_[i])),
            service_settings_[i]);
    for (std::size_t i = 0; i < organisations_.size(); ++i)
    {
        auto const digests = credentials(i);
        content.organisations.emplace_hint(
            content.organisations.end(),
            core::organisation_name(std::string(organisations_[i])),
            organisation_settings{{digests.begin(), digests.end()}});
    }
    content.routes.reserve(routes_.size());
    for (std::size_t i = 0; i < routes_.size(); ++i)
        content.routes.push_back(route(i));
    return content;
}

std::span<core::sha256_digest const>
section::credentials(std::size_t index) const
{
    BOOST_ASSERT(index < credential_ends_.size());
    std::size_t const begin = index == 0 ? 0 : credential_ends_[index - 1];
    return std::span(credentials_)
        .subspan(begin, credential_ends_[index] - begin);
}

route_settings section::route(std::size_t index) const
{
    auto const& packed = routes_[index];
    route_settings result;
    result.prefix = prefixes_[index];
    result.service = core::service_name(std::string(route_service(index)));
    for (std::size_t i = 0; i < route_organisation_count(index); ++i)
        result.organisations.emplace_back(
            std::string(route_organisation(index, i)));
    for (std::size_t i = index == 0 ? 0 : routes_[index - 1].regions_end;
         i < packed.regions_end;
         ++i)
        result.regions.emplace_back(std::string(regions_[route_regions_[i]]));
    result.repeat = packed.repeat;
    result.limit_per_s = packed.limit_per_s;
    result.deadline = std::chrono::milliseconds(packed.deadline_ms);
    return result;
}

std::string_view section::route_service(std::size_t index) const
{
    BOOST_ASSERT(index < routes_.size());
    return name_of(routes_[index].service, services_, undefined_services_);
}

std::size_t section::route_organisation_count(std::size_t index) const
{
    BOOST_ASSERT(index < routes_.size());
    std::size_t const begin =
        index == 0 ? 0 : routes_[index - 1].organisations_end;
    return routes_[index].organisations_end - begin;
}

std::string_view section::route_organisation(std::size_t index,
                                             std::size_t position) const
{
    BOOST_ASSERT(position < route_organisation_count(index));
    std::size_t const begin =
        index == 0 ? 0 : routes_[index - 1].organisations_end;
    return name_of(route_organisations_[begin + position],
                   organisations_,
                   undefined_organisations_);
}

std::size_t section::memory_bytes() const
{
    std::size_t bytes = sizeof(*this) + owner_.capacity();
    for (auto const* const table : {&services_,
                                    &organisations_,
                                    &undefined_services_,
                                    &undefined_organisations_,
                                    &regions_,
                                    &prefixes_})
        bytes += table->memory_bytes();
    return bytes + bytes_of(service_settings_) + bytes_of(credential_ends_) +
           bytes_of(credentials_) + bytes_of(routes_) +
           bytes_of(route_organisations_) + bytes_of(route_regions_);
}

} // namespace kumquatloom::document
