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

class inbound_request;
struct instance_state;

/// Marks a request that another instance has forwarded and that must not be
/// forwarded again. If a caller sends the header, the only effect is that its
/// request is not forwarded.
constexpr std::string_view forwarded_header = "Kumquatloom-Forwarded";

/// Forwards a request to the instance that issued its ticket. Each request uses
/// a separate connection, so that its response can't be confused with another.
class owner_forwarder
{
public:
    owner_forwarder(asio::io_context& context, instance_state& state);

    /// The complete response of the ticket's issuer; empty on failure.
    asio::awaitable<std::optional<http_response>>
    forward(inbound_request& inbound,
            core::instance_id const& owner,
            request::deadline until);

private:
    /// The address at which the owner accepts callers; empty if unknown.
    std::optional<tcp::endpoint>
    address_of(core::instance_id const& owner) const;
    asio::awaitable<std::optional<http_response>>
    exchange(beast::tcp_stream& stream,
             inbound_request& inbound,
             request::deadline until);
    static std::string request_head(inbound_request const& inbound,
                                    request::deadline until);

    /// Executes the connections' coroutines.
    asio::io_context& context_;
    /// State shared by all threads of the instance.
    instance_state& state_;
};

} // namespace kumquatloom::entry

#endif
