#ifndef KUMQUATLOOM_SETTINGS_ENDPOINT_HPP
#define KUMQUATLOOM_SETTINGS_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::settings
{

/// An IP number and a port.
struct endpoint
{
    /// The IP number as text.
    std::string host;
    /// The port; 0 lets the system choose one when listening.
    std::uint16_t port = 0;

    friend bool operator==(endpoint const&, endpoint const&) = default;
};

/// Parses "ip:port"; nothing if the text is malformed.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// The endpoint as "ip:port".
std::string to_string(endpoint const& address);

} // namespace kumquatloom::settings

#endif
