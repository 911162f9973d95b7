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

/// Lets the instance leave: it is no longer handed out, serves on until no
/// caller can still hold its address, and then ends after the last request.
class drain_controller
{
public:
    /// Calls `leaving` when the instance begins to leave, and `finish` when
    /// only running requests may be completed.
    drain_controller(asio::io_context& context,
                     instance_state& state,
                     std::chrono::milliseconds grace,
                     std::function<void()> leaving,
                     std::function<void()> finish);

    /// Begins to leave; has no effect while leaving.
    void begin(std::string_view cause);

    /// Ends the wait for callers; running requests are still completed.
    void end_wait();

private:
    asio::awaitable<void> run();

    /// Runs the wait.
    asio::io_context& context_;
    /// What all threads share.
    instance_state& state_;
    /// Time in addition to that for which callers keep addresses.
    std::chrono::milliseconds const grace_;
    /// Called once at the start.
    std::function<void()> leaving_;
    /// Called once at the end of the wait.
    std::function<void()> finish_;
    /// Ends the wait.
    asio::steady_timer timer_;
};

} // namespace kumquatloom::entry

#endif
