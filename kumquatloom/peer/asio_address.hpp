#ifndef KUMQUATLOOM_PEER_ASIO_ADDRESS_HPP
#define KUMQUATLOOM_PEER_ASIO_ADDRESS_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/ip/address.hpp>

namespace kumquatloom::peer
{

/// Parses the IP address of an endpoint. Throws boost::system::system_error if
/// it is malformed. Included only by the transports' source files, which keeps
/// Asio out of the headers.
inline boost::asio::ip::address
parse_address(settings::endpoint const& endpoint)
{
    return boost::asio::ip::make_address(endpoint.host);
}

/// Converts an Asio endpoint to the type used in settings.
template <typename AsioEndpoint>
settings::endpoint to_endpoint(AsioEndpoint const& endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace kumquatloom::peer

#endif
