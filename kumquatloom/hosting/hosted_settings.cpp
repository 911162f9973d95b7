#include <kumquatloom/hosting/hosted_settings.hpp>

#include <algorithm>

namespace kumquatloom::hosting
{

namespace
{

/// File descriptors reserved for uses other than callers' connections.
constexpr std::size_t reserved_descriptors = 1000;
/// Reciprocal of a port's share of them. Four ports get half.
constexpr std::size_t port_divisor = 8;

} // namespace

std::size_t caller_connections(hosted_settings const& settings)
{
    if (settings.caller_connections != 0)
        return settings.caller_connections;
    auto const descriptors = settings.descriptors;
    return descriptors - std::min(descriptors / 2, reserved_descriptors);
}

std::size_t port_connections(hosted_settings const& settings)
{
    if (settings.port_connections != 0)
        return settings.port_connections;
    auto const callers = caller_connections(settings);
    auto const others =
        settings.descriptors - std::min(settings.descriptors, callers);
    return std::max<std::size_t>(others / port_divisor, 1);
}

} // namespace kumquatloom::hosting
