#ifndef KUMQUATLOOM_SETTINGS_ENDPOINT_HPP
#define KUMQUATLOOM_SETTINGS_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::settings
{

/// An IP address and a port.
struct endpoint
{
    /// The IP address as text.
    std::string host;
    /// The port; if it is 0, the system chooses one for a listening socket.
    std::uint16_t port = 0;

    friend bool operator==(endpoint const&, endpoint const&) = default;
};

/// Parses "ip:port". Returns std::nullopt if the text is malformed.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Formats the endpoint as "ip:port".
std::string to_string(endpoint const& address);

} // namespace kumquatloom::settings

#endif
