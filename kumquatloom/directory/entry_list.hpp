#ifndef KUMQUATLOOM_DIRECTORY_ENTRY_LIST_HPP
#define KUMQUATLOOM_DIRECTORY_ENTRY_LIST_HPP

#include <kumquatloom/core/ids.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace kumquatloom::directory
{

/// An entry instance that a caller may use.
struct entry
{
    /// The instance.
    core::instance_id instance;
    /// Its callers' address as "ip:port".
    std::string address;
    /// Its failure domain.
    core::failure_domain failure_domain;
    /// Its region.
    core::region region;

    friend bool operator==(entry const&, entry const&) = default;
};

/// What a caller is told, best entries first.
struct entry_list
{
    /// How long the caller may keep the answer.
    std::chrono::milliseconds time_to_live{0};
    /// The entry instances.
    std::vector<entry> entries;
};

} // namespace kumquatloom::directory

#endif
