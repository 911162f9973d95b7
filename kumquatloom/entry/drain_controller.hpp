#ifndef KUMQUATLOOM_ENTRY_DRAIN_CONTROLLER_HPP
#define KUMQUATLOOM_ENTRY_DRAIN_CONTROLLER_HPP

#include <kumquatloom/entry/http_types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>

namespace kumquatloom::entry
{

struct instance_state;

/// Drains the instance: it is no longer advertised to callers, continues to
/// serve until every advertised address has expired, and then completes the
/// requests in flight.
class drain_controller
{
public:
    /// Calls `on_leaving` when draining starts, and `on_finish` when the
    /// instance should only complete the requests in flight.
    drain_controller(asio::io_context& context,
                     instance_state& state,
                     std::chrono::milliseconds grace,
                     std::function<void()> on_leaving,
                     std::function<void()> on_finish);

    /// Starts draining; no effect if draining has started. `cause` is logged.
    void begin(std::string_view cause);

    /// Ends the wait for advertised addresses to expire. Requests in flight are
    /// still completed.
    void end_wait();

private:
    asio::awaitable<void> run();

    asio::io_context& context_;
    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Time to serve in addition to the time to live of advertised addresses.
    std::chrono::milliseconds const grace_;
    /// Called when draining starts.
    std::function<void()> on_leaving_;
    /// Called when the wait ends.
    std::function<void()> on_finish_;
    /// Waits until advertised addresses have expired.
    asio::steady_timer timer_;
};

} // namespace kumquatloom::entry

#endif
