#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_POOLS_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_POOLS_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/upstream_pool.hpp>
#include <kumquatloom/routing/upstream.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstddef>
#include <unordered_map>

namespace kumquatloom::entry
{

struct instance_state;

/// The connection pools of one worker, one for each upstream that was used
/// recently.
class upstream_pools
{
public:
    /// Opens at most `connection_limit` connections to each upstream.
    upstream_pools(asio::io_context& context,
                   instance_state& state,
                   std::size_t connection_limit);

    /// The pool of an upstream, created on first use; null if the address of
    /// the upstream is not an IP address.
    boost::intrusive_ptr<upstream_pool>
    pool_for(boost::intrusive_ptr<routing::upstream> const& target);

    /// Closes idle connections that were last used before `unused_since`, and
    /// removes unused pools without connections.
    void sweep(core::time_point unused_since);

    /// Closes the idle connections to upstreams that are leaving, and ends the
    /// waits for their connections.
    void withdraw_leaving();

private:
    /// A pool and its upstream, which it keeps alive, so that no other upstream
    /// gets the address that is the key.
    struct entry
    {
        boost::intrusive_ptr<routing::upstream> target;
        boost::intrusive_ptr<upstream_pool> pool;
    };

    /// Executes the connections' coroutines.
    asio::io_context& context_;
    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Maximum number of connections to one upstream.
    std::size_t const connection_limit_;
    /// Pools by upstream. A restarted upstream is a new object, so that the
    /// connections of its predecessor are not reused for it.
    std::unordered_map<routing::upstream const*, entry> pools_;
};

} // namespace kumquatloom::entry

#endif
