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

/// The pools of one worker, one for each upstream that it has used lately.
class upstream_pools
{
public:
    /// Opens at most `connection_limit` connections to each upstream.
    upstream_pools(asio::io_context& context,
                   instance_state& state,
                   std::size_t connection_limit);

    /// The pool of an upstream; null if its address is not an IP number.
    boost::intrusive_ptr<upstream_pool>
    of(boost::intrusive_ptr<routing::upstream> const& target);

    /// Closes connections that were not used since the given time, and drops
    /// pools without connections.
    void sweep(core::time_point unused_since);

private:
    /// The pool of an upstream, which it keeps alive.
    struct entry
    {
        /// The key's object.
        boost::intrusive_ptr<routing::upstream> target;
        /// Its connections.
        boost::intrusive_ptr<upstream_pool> pool;
    };

    /// Runs the connections.
    asio::io_context& context_;
    /// What all threads share.
    instance_state& state_;
    /// Most connections of this worker to one upstream.
    std::size_t const connection_limit_;
    /// Pools by upstream. An upstream that restarts is another object, so
    /// that it gets no connection of its predecessor.
    std::unordered_map<routing::upstream const*, entry> pools_;
};

} // namespace kumquatloom::entry

#endif
