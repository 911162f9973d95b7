#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/keep_alive_timeout.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace kumquatloom::entry
{

namespace
{

/// Subtracted from the upstream's timeout. The upstream's timer starts before
/// its response arrives here, and the next request takes time to reach it; this
/// covers a cross-region round trip with one lost packet.
constexpr std::chrono::milliseconds network_margin{700};
constexpr std::string_view timeout_parameter = "timeout=";

} // namespace

std::optional<core::duration> keep_alive_timeout(http_response const& response)
{
    auto const value = as_view(response["Keep-Alive"]);
    auto const at = value.find(timeout_parameter);
    if (at == std::string_view::npos)
        return std::nullopt;
    auto const text = value.substr(at + timeout_parameter.size());
    unsigned seconds = 0;
    auto const parsed =
        std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return std::max<core::duration>(
        std::chrono::seconds(seconds) - network_margin, core::duration::zero());
}

} // namespace kumquatloom::entry
