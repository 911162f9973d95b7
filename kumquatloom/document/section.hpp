#ifndef KUMQUATLOOM_DOCUMENT_SECTION_HPP
#define KUMQUATLOOM_DOCUMENT_SECTION_HPP

#include <kumquatloom/document/name_table.hpp>
#include <kumquatloom/document/section_content.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::document
{

/// One section of the document, immutable and in compact form: names are stored
/// in shared buffers and routes refer to them by number.
class section : public boost::intrusive_ref_counter<section>
{
public:
    /// Packs the content.
    explicit section(section_content const& content);

    /// Expands the content to plain form.
    section_content expand() const;

    /// The owner whose key signs edits of the section.
    std::string const& owner() const
    {
        return owner_;
    }

    /// Names of the services, sorted.
    name_table const& services() const
    {
        return services_;
    }

    /// Settings of a service, by its number in services().
    service_settings const& service(std::size_t index) const
    {
        return service_settings_[index];
    }

    /// Names of the organisations, sorted.
    name_table const& organisations() const
    {
        return organisations_;
    }

    /// Credential digests of an organisation, by its number in
    /// organisations().
    std::span<core::sha256_digest const> credentials(std::size_t index) const;

    /// Path prefixes of the routes, in document order.
    name_table const& prefixes() const
    {
        return prefixes_;
    }

    /// Expands one route to plain form.
    route_settings route(std::size_t index) const;

    /// Service name of a route.
    std::string_view route_service(std::size_t index) const;

    /// Number of organisations of a route.
    std::size_t route_organisation_count(std::size_t index) const;

    /// Name of one of a route's organisations.
    std::string_view route_organisation(std::size_t index,
                                        std::size_t position) const;

    /// Services that routes use and this section does not define, sorted.
    name_table const& undefined_services() const
    {
        return undefined_services_;
    }

    /// Organisations that routes use and this section does not define, sorted.
    name_table const& undefined_organisations() const
    {
        return undefined_organisations_;
    }

    /// Memory of the section in bytes.
    std::size_t memory_bytes() const;

private:
    /// A route in compact form, which refers to names by number. Omits the
    /// settings that a section cannot contain, such as the host.
    struct compact_route
    {
        /// Service number: services_ first, then undefined_services_.
        std::uint32_t service = 0;
        /// End of the route's organisations in route_organisations_.
        std::uint32_t organisations_end = 0;
        /// End of the route's regions in route_regions_.
        std::uint32_t regions_end = 0;
        /// Rate limit of each organisation, in requests per second.
        std::uint32_t limit_per_s = 0;
        /// Deadline in milliseconds, at most 600,000.
        std::uint32_t deadline_ms = 0;
        /// Which requests may be retried.
        repeat_rule repeat = repeat_rule::by_method;
    };

    void pack_services(section_content const& content);
    void pack_organisations(section_content const& content);
    void pack_undefined_names(section_content const& content);
    void pack_routes(section_content const& content);

    /// The owner.
    std::string owner_;
    /// Names of the services.
    name_table services_;
    /// Settings of the services.
    std::vector<service_settings> service_settings_;
    /// Names of the organisations.
    name_table organisations_;
    /// End of each organisation's digests in credentials_.
    std::vector<std::uint32_t> credential_ends_;
    /// Credential digests of all organisations.
    std::vector<core::sha256_digest> credentials_;
    /// Services that routes use and this section does not define, sorted.
    name_table undefined_services_;
    /// Organisations that routes use and this section does not define, sorted.
    name_table undefined_organisations_;
    /// Regions that routes name, sorted.
    name_table regions_;
    /// Path prefixes of the routes.
    name_table prefixes_;
    /// The routes.
    std::vector<compact_route> routes_;
    /// Organisation numbers of all routes: organisations_ first, then
    /// undefined_organisations_.
    std::vector<std::uint32_t> route_organisations_;
    /// Positions in regions_ of the regions of all routes.
    std::vector<std::uint32_t> route_regions_;
};

} // namespace kumquatloom::document

#endif
