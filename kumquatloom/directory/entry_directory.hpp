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

/// Chooses the entry instances that callers of an organisation are told to use.
/// The choice is a rendezvous hash, so all instances that know the same fleet
/// give the same answer, the organisations spread evenly, and the change of
/// one instance alters at most one entry of each group. Places that the
/// caller's failure domain cannot fill go to its region, and further to other
/// regions.
class entry_directory
{
public:
    /// Answers as an instance in the given failure domain and region.
    entry_directory(entry_directory_settings settings,
                    core::failure_domain own_domain,
                    core::region own_region);

    /// The entries for an organisation. An empty or unknown failure domain
    /// stands for the own one.
    entry_list answer(core::organisation_name const& organisation,
                      core::failure_domain const& asked_domain,
                      std::vector<membership::known_instance> const& instances,
                      core::time_point now) const;

    /// Whether callers may be told about an instance now.
    bool is_listable(membership::known_instance const& instance,
                     core::time_point now) const;

private:
    /// Settings.
    entry_directory_settings settings_;
    /// Failure domain of this instance.
    core::failure_domain own_domain_;
    /// Region of this instance.
    core::region own_region_;
};

} // namespace kumquatloom::directory

#endif
