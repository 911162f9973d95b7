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
class message_memory;

/// Resources shared by the requests of one worker; used by its thread only.
struct worker_resources
{
    /// Opens at most `connection_limit` connections to each upstream.
    worker_resources(asio::io_context& worker_context,
                     instance_state& shared,
                     std::size_t connection_limit)
        : context(worker_context)
        , state(shared)
        , pools(worker_context, shared, connection_limit)
        , queues(worker_context, shared)
        , random(std::random_device()())
    {
    }

    /// Executes all work of the worker.
    asio::io_context& context;
    /// State shared by all threads of the instance.
    instance_state& state;
    /// Connection pools for upstreams.
    upstream_pools pools;
    /// Queues of requests that wait for a slot.
    slot_queues queues;
    /// Reserves memory for responses; null if nothing frees any.
    message_memory* memory = nullptr;
    /// Random numbers for load balancing and jitter.
    std::mt19937_64 random;
};

} // namespace kumquatloom::entry

#endif
