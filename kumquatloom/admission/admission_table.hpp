#ifndef KUMQUATLOOM_ADMISSION_ADMISSION_TABLE_HPP
#define KUMQUATLOOM_ADMISSION_ADMISSION_TABLE_HPP

#include <kumquatloom/admission/authenticator.hpp>
#include <kumquatloom/admission/route_table.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/limits/priority.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatloom::admission
{

/// The credentials and the routes of one version of the document. Immutable.
class admission_table : public boost::intrusive_ref_counter<admission_table>
{
public:
    /// Indexes a document for instances of one region.
    admission_table(document::document const& source,
                    core::region const& region)
        : version_(source.version)
        , access_(source.access)
        , permits_every_organisation_(source.permits_every_organisation)
        , authenticator_(source.organisations)
        , routes_(source, authenticator_, region)
    {
        // Indexes of organisations are in the order of their names.
        priorities_.reserve(source.organisations.size());
        for (auto const& [name, organisation] : source.organisations)
            priorities_.push_back(static_cast<std::uint8_t>(
                organisation.rank ? limits::priority_of_rank(*organisation.rank)
                                  : limits::priority::count));
    }

    /// Version of the document.
    core::log_offset version() const
    {
        return version_;
    }

    /// Whether every caller may use every route without a credential.
    bool is_open() const
    {
        return access_ == document::access_rule::open;
    }

    /// Whether callers must authenticate.
    document::access_rule access() const
    {
        return access_;
    }

    /// Whether every organisation may use every route.
    bool permits_every_organisation() const
    {
        return permits_every_organisation_;
    }

    /// The organisations' credentials.
    authenticator const& organisations() const
    {
        return authenticator_;
    }

    /// The priority of an organisation's requests; nothing if the route
    /// determines it.
    std::optional<limits::priority>
    priority(organisation_index organisation) const
    {
        auto const value = static_cast<limits::priority>(
            priorities_[static_cast<std::uint32_t>(organisation)]);
        return value == limits::priority::count ? std::nullopt
                                                : std::optional(value);
    }

    route_table const& routes() const
    {
        return routes_;
    }

private:
    /// Version of the document.
    core::log_offset version_;
    /// Whether callers must authenticate.
    document::access_rule access_;
    /// Whether every organisation may use every route.
    bool permits_every_organisation_;
    /// The organisations' credentials.
    authenticator authenticator_;
    /// Priority of each organisation, or priority::count if it has none. One
    /// byte each, because there may be several hundred thousand.
    std::vector<std::uint8_t> priorities_;
    route_table routes_;
};

} // namespace kumquatloom::admission

#endif
