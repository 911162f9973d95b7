#ifndef KUMQUATLOOM_PEER_PENDING_RESPONSE_HPP
#define KUMQUATLOOM_PEER_PENDING_RESPONSE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/peer/message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <optional>

namespace kumquatloom::peer
{

/// A response that a handler gives later, possibly from another thread. Only
/// the sources of the TCP transport include this header.
class pending_response : public boost::intrusive_ref_counter<pending_response>
{
public:
    /// The executor is the strand on which wait() is called.
    explicit pending_response(boost::asio::any_io_executor strand);

    /// The response; nothing if the deadline has passed or if every copy of the
    /// responder was dropped.
    boost::asio::awaitable<std::optional<message>>
    wait(core::time_point deadline);

    /// A function that gives the response.
    static std::function<void(message)>
    make_responder(boost::intrusive_ptr<pending_response> const& pending);

private:
    class handle;

    void finish(std::optional<message> response);

    /// The strand that owns the members below.
    boost::asio::any_io_executor strand_;
    /// Ends the wait when it expires or is cancelled.
    boost::asio::steady_timer timer_;
    /// The response, once it was given.
    std::optional<message> response_;
};

} // namespace kumquatloom::peer

#endif
