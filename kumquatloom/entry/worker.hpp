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

/// A thread with its own connections to callers and upstreams, so that these
/// need no lock.
class worker
{
public:
    /// Listens on the address; serves after start().
    worker(instance_state& state,
           tcp::endpoint const& address,
           std::size_t connection_limit);
    /// Ends all requests and joins the thread.
    ~worker();

    /// Starts the thread.
    void start();

    /// Accepts no more connections and lets the open ones end after the
    /// request that they serve. May be called from any thread.
    void finish();

    /// Closes everything at once. May be called from any thread.
    void abort();

    /// Waits for the end of the thread.
    void join();

    /// The callers' address in use.
    tcp::endpoint address() const
    {
        return listener_.address();
    }

private:
    asio::awaitable<void> sweep();

    /// Runs everything of this worker.
    asio::io_context context_{1};
    /// Answers the requests.
    proxy_handler handler_;
    /// Accepts the callers.
    caller_listener listener_;
    /// Wakes the sweep of idle connections.
    asio::steady_timer sweep_timer_;
    /// Whether the worker ends.
    bool ending_ = false;
    /// Runs the context.
    std::thread thread_;
};

} // namespace kumquatloom::entry

#endif
