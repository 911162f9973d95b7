#ifndef KUMQUATLOOM_DIRECTORY_ENTRY_DIRECTORY_HPP
#define KUMQUATLOOM_DIRECTORY_ENTRY_DIRECTORY_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/directory/entry_directory_settings.hpp>
#include <kumquatloom/directory/entry_list.hpp>
#include <kumquatloom/membership/known_instance.hpp>

#include <cstddef>
#include <vector>

namespace kumquatloom::directory
{

/// Selects the entry instances that are listed to the callers of an
/// organisation. Rendezvous hashing makes instances with the same view of the
/// fleet select the same ones, spreads the organisations evenly, and changes at
/// most one entry per group when one instance changes. The groups are the
/// caller's failure domain, the rest of its region, and other regions; places
/// that one group cannot fill go to the next.
class entry_directory
{
public:
    /// Selects for an instance in the given failure domain and region.
    entry_directory(entry_directory_settings settings,
                    core::failure_domain own_domain,
                    core::region own_region);

    /// The entries for callers of an organisation in the requested failure
    /// domain; if that is empty or unknown, the domain of this instance is
    /// used.
    entry_list answer(core::organisation_name const& organisation,
                      core::failure_domain const& requested_domain,
                      std::vector<membership::known_instance> const& instances,
                      core::time_point now) const;

    /// Whether an instance may be listed to callers.
    bool is_listable(membership::known_instance const& instance,
                     core::time_point now) const;

private:
    /// Sizes of the groups and limits on the age of instances.
    entry_directory_settings settings_;
    /// Failure domain of this instance.
    core::failure_domain own_domain_;
    /// Region of this instance.
    core::region own_region_;
};

} // namespace kumquatloom::directory

#endif
