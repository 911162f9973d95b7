#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace kumquatloom::settings
{

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string const host(text.substr(0, colon));
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    if (error)
        return std::nullopt;
    std::uint16_t port = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return endpoint{host, port};
}

std::string to_string(endpoint const& address)
{
    return address.host + ":" + std::to_string(address.port);
}

} // namespace kumquatloom::settings
