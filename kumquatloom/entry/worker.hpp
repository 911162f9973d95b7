#ifndef KUMQUATLOOM_ENTRY_WORKER_HPP
#define KUMQUATLOOM_ENTRY_WORKER_HPP

#include <kumquatloom/entry/caller_listener.hpp>
#include <kumquatloom/entry/proxy_handler.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <thread>

namespace kumquatloom::entry
{

struct instance_state;

/// A thread with its own connections to callers and upstreams, so that
/// connections need no locking.
class worker
{
public:
    /// Listens on the address; start() starts serving.
    worker(instance_state& state,
           tcp::endpoint const& address,
           std::size_t connection_limit);
    /// Aborts all requests and joins the thread.
    ~worker();

    void start();

    /// Stops accepting connections, closes idle ones and closes the others
    /// after their current response. Thread-safe.
    void finish();

    /// Closes all connections immediately. Thread-safe.
    void abort();

    /// Joins the thread.
    void join();

    /// The bound address for callers.
    tcp::endpoint address() const
    {
        return listener_.address();
    }

private:
    asio::awaitable<void> sweep();

    /// Executes all work of this worker.
    asio::io_context context_{1};
    /// Handles the requests.
    proxy_handler handler_;
    /// Accepts connections from callers.
    caller_listener listener_;
    /// Schedules the sweep of idle connections.
    asio::steady_timer sweep_timer_;
    /// Whether the worker is stopping.
    bool ending_ = false;
    std::thread thread_;
};

} // namespace kumquatloom::entry

#endif
