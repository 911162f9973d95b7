#ifndef KUMQUATLOOM_ENTRY_OWNER_FORWARDER_HPP
#define KUMQUATLOOM_ENTRY_OWNER_FORWARDER_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_budget.hpp>
#include <kumquatloom/request/deadline.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>

namespace kumquatloom::entry
{

class call;
struct instance_state;

/// Marks a request that another instance has passed on. A caller that sends it
/// only forbids to pass the request on.
constexpr std::string_view forwarded_header = "Kumquatloom-Forwarded";

/// Passes a request on to the instance that issued its ticket, on a connection
/// of its own, so that no other answer can be taken for that one.
class owner_forwarder
{
public:
    /// Forwards requests of one worker.
    owner_forwarder(asio::io_context& context, instance_state& state);

    /// The owner's whole answer; nothing if there is none.
    asio::awaitable<std::optional<http_response>> forward(
        call& caller, core::instance_id const& owner, request::deadline until);

private:
    std::optional<tcp::endpoint>
    address_of(core::instance_id const& owner) const;
    asio::awaitable<std::optional<http_response>>
    exchange(beast::tcp_stream& stream, call& caller, request::deadline until);
    static std::string request_head(call const& caller,
                                    request::deadline until);

    /// Runs the connections.
    asio::io_context& context_;
    /// What all threads share.
    instance_state& state_;
};

} // namespace kumquatloom::entry

#endif
