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

/// Awaits a response that a request handler produces later, possibly on another
/// thread. Included only by the source files of the TCP transport.
class pending_response : public boost::intrusive_ref_counter<pending_response>
{
public:
    /// `strand` is the strand on which wait() is called.
    explicit pending_response(boost::asio::any_io_executor strand);

    /// Returns the response; nothing if the deadline passes first or if all
    /// copies of the responder are destroyed without sending a response.
    boost::asio::awaitable<std::optional<message>>
    wait(core::time_point deadline);

    /// Creates the function with which the handler sends the response.
    static std::function<void(message)>
    make_responder(boost::intrusive_ptr<pending_response> const& pending);

private:
    class handle;

    void finish(std::optional<message> response);

    /// Strand on which the members below are accessed.
    boost::asio::any_io_executor strand_;
    /// Ends the wait when it expires or is cancelled.
    boost::asio::steady_timer timer_;
    /// The response, once the handler has sent it.
    std::optional<message> response_;
};

} // namespace kumquatloom::peer

#endif
