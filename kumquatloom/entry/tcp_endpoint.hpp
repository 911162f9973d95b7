#ifndef KUMQUATLOOM_ENTRY_TCP_ENDPOINT_HPP
#define KUMQUATLOOM_ENTRY_TCP_ENDPOINT_HPP

#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/settings/endpoint.hpp>

namespace kumquatloom::entry
{

/// The endpoint for a socket. Throws if the host is not an IP number.
inline tcp::endpoint to_tcp_endpoint(settings::endpoint const& address)
{
    return {asio::ip::make_address(address.host), address.port};
}

} // namespace kumquatloom::entry

#endif
