#ifndef KUMQUATLOOM_DIRECTORY_ENTRY_LIST_HPP
#define KUMQUATLOOM_DIRECTORY_ENTRY_LIST_HPP

#include <kumquatloom/core/ids.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace kumquatloom::directory
{

/// An entry instance to which a caller may connect.
struct entry
{
    core::instance_id instance;
    /// The address for callers as "ip:port".
    std::string address;
    core::failure_domain failure_domain;
    core::region region;

    friend bool operator==(entry const&, entry const&) = default;
};

/// The entry instances that a caller should use, in order of preference.
struct entry_list
{
    /// How long the caller may cache the list.
    std::chrono::milliseconds time_to_live{0};
    /// The entry instances, the preferred ones first.
    std::vector<entry> entries;
};

} // namespace kumquatloom::directory

#endif
