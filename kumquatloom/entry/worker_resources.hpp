#ifndef KUMQUATLOOM_ENTRY_WORKER_RESOURCES_HPP
#define KUMQUATLOOM_ENTRY_WORKER_RESOURCES_HPP

#include <kumquatloom/entry/slot_queues.hpp>
#include <kumquatloom/entry/upstream_pools.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <random>

namespace kumquatloom::entry
{

struct instance_state;

/// What the requests of one worker use together; only its thread touches it.
struct worker_parts
{
    /// Opens at most `connection_limit` connections to each upstream.
    worker_parts(asio::io_context& worker_context,
                 instance_state& shared,
                 std::size_t connection_limit)
        : context(worker_context)
        , state(shared)
        , pools(worker_context, shared, connection_limit)
        , queues(worker_context, shared)
        , random(std::random_device()())
    {
    }

    /// Runs everything of the worker.
    asio::io_context& context;
    /// What all threads share.
    instance_state& state;
    /// Connections to upstreams.
    upstream_pools pools;
    /// Requests that wait for a slot.
    slot_queues queues;
    /// Random choices among upstreams.
    std::mt19937_64 random;
};

} // namespace kumquatloom::entry

#endif
