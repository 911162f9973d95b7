#ifndef KUMQUATLOOM_HOSTING_STORE_PAGE_HPP
#define KUMQUATLOOM_HOSTING_STORE_PAGE_HPP

#include <kumquatloom/hosting/store_position.hpp>
#include <kumquatloom/routing/upstream_change.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kumquatloom::hosting
{

/// What a read of the environment's store has brought.
struct store_page
{
    /// The newest configuration as the store holds it, if it was read.
    std::optional<std::string> document;
    /// What became of upstreams, in order.
    std::vector<routing::upstream_change> upstreams;
    /// Whether `upstreams` names every upstream that there is.
    bool is_complete = false;
    /// Where the next read continues.
    store_position next;
};

} // namespace kumquatloom::hosting

#endif
