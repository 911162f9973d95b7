#ifndef KUMQUATLOOM_PEER_ASIO_ADDRESS_HPP
#define KUMQUATLOOM_PEER_ASIO_ADDRESS_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/ip/address.hpp>

namespace kumquatloom::peer
{

/// The IP number of an endpoint. Throws boost::system::system_error if it is
/// malformed. Only sources of the transports include this header.
inline boost::asio::ip::address parse_address(settings::endpoint const& text)
{
    return boost::asio::ip::make_address(text.host);
}

/// An endpoint of Asio as the settings' type.
template <typename AsioEndpoint>
settings::endpoint to_endpoint(AsioEndpoint const& endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace kumquatloom::peer

#endif
