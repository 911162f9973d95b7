#ifndef KUMQUATLOOM_DIRECTORY_ENTRY_DIRECTORY_SETTINGS_HPP
#define KUMQUATLOOM_DIRECTORY_ENTRY_DIRECTORY_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace kumquatloom::directory
{

/// Settings of an entry directory (section 5.8 of the design).
struct entry_directory_settings
{
    /// How long callers may cache a list of entry instances.
    std::chrono::milliseconds time_to_live{30000};
    /// Number of entries in the caller's failure domain.
    std::size_t domain_entries = 4;
    /// Number of entries in the rest of the caller's region.
    std::size_t region_entries = 2;
    /// Number of entries in other regions.
    std::size_t other_region_entries = 1;
    /// An instance in the region of this instance is listed only if it was
    /// known to be alive within this time.
    std::chrono::milliseconds max_region_age{2000};
    /// The same for other regions, for which the time is the sum of the ages
    /// that the forwarding instances reported.
    std::chrono::milliseconds max_other_region_age{4000};
};

} // namespace kumquatloom::directory

#endif
