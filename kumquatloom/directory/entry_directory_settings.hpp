#ifndef KUMQUATLOOM_DIRECTORY_ENTRY_DIRECTORY_SETTINGS_HPP
#define KUMQUATLOOM_DIRECTORY_ENTRY_DIRECTORY_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace kumquatloom::directory
{

/// Settings of an entry directory (section 5.8 of the design).
struct entry_directory_settings
{
    /// How long callers may keep an answer.
    std::chrono::milliseconds time_to_live{30000};
    /// Entries in the caller's failure domain.
    std::size_t domain_entries = 4;
    /// Entries in the rest of the caller's region.
    std::size_t region_entries = 2;
    /// Entries in other regions.
    std::size_t other_entries = 1;
    /// Time since an instance of the own region was heard from.
    std::chrono::milliseconds region_age{2000};
    /// The same for other regions, by added ages.
    std::chrono::milliseconds other_age{4000};
};

} // namespace kumquatloom::directory

#endif
