#ifndef KUMQUATLOOM_HOSTING_STORE_PAGE_HPP
#define KUMQUATLOOM_HOSTING_STORE_PAGE_HPP

#include <kumquatloom/hosting/store_position.hpp>
#include <kumquatloom/routing/upstream_change.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kumquatloom::hosting
{

/// Result of a read of the store.
struct store_page
{
    /// The latest configuration as stored, if the read returned one.
    std::optional<std::string> document;
    /// Changes to the list of upstreams, in order.
    std::vector<routing::upstream_change> upstreams;
    /// Whether `upstreams` lists all upstreams rather than the changes since a
    /// position.
    bool is_complete = false;
    /// Position from which the next read continues.
    store_position next;
};

} // namespace kumquatloom::hosting

#endif
