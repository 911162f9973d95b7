#ifndef KUMQUATLOOM_ENTRY_TCP_ENDPOINT_HPP
#define KUMQUATLOOM_ENTRY_TCP_ENDPOINT_HPP

#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/settings/endpoint.hpp>

namespace kumquatloom::entry
{

/// Converts to an Asio endpoint. Throws if the host is not an IP address.
inline tcp::endpoint to_tcp_endpoint(settings::endpoint const& address)
{
    return {asio::ip::make_address(address.host), address.port};
}

} // namespace kumquatloom::entry

#endif
