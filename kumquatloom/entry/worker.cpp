#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/worker.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace kumquatloom::entry
{

namespace
{

/// Interval between sweeps of idle upstream connections, and their longest idle
/// time. The latter is below the usual timeouts of servers, so that servers
/// rarely close connections first.
constexpr std::chrono::seconds sweep_interval{1};
constexpr std::chrono::seconds max_idle_time{20};

} // namespace

worker::worker(instance_state& state,
               tcp::endpoint const& address,
               std::size_t connection_limit)
    : handler_(context_, state, connection_limit)
    , listener_(context_, state, handler_, address)
    , sweep_timer_(context_)
{
}

worker::~worker()
{
    if (!thread_.joinable())
        return;
    abort();
    join();
}

void worker::join()
{
    if (thread_.joinable())
        thread_.join();
}

void worker::start()
{
    asio::co_spawn(context_, listener_.run(), asio::detached);
    asio::co_spawn(context_, sweep(), asio::detached);
    thread_ = std::thread(
        [this]
        {
            context_.run();
        });
}

void worker::finish()
{
    asio::post(context_,
               [this]
               {
                   ending_ = true;
                   listener_.close();
                   listener_.finish_sessions();
                   sweep_timer_.cancel();
               });
}

void worker::abort()
{
    asio::post(context_,
               [this]
               {
                   ending_ = true;
                   listener_.close();
                   listener_.abort_sessions();
                   sweep_timer_.cancel();
               });
}

asio::awaitable<void> worker::sweep()
{
    while (!ending_)
    {
        sweep_timer_.expires_after(sweep_interval);
        co_await sweep_timer_.async_wait(as_result);
        handler_.sweep(core::clock::now() - max_idle_time);
    }
}

} // namespace kumquatloom::entry
