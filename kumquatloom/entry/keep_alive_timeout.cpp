#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/keep_alive_timeout.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace kumquatloom::entry
{

namespace
{

/// The upstream's timer starts before the answer arrives, and a request takes
/// its way; a round trip between regions with a lost packet fits in this.
constexpr std::chrono::milliseconds margin{700};
constexpr std::string_view parameter = "timeout=";

} // namespace

std::optional<core::duration> keep_alive_time(http_response const& answer)
{
    auto const value = as_view(answer["Keep-Alive"]);
    auto const at = value.find(parameter);
    if (at == std::string_view::npos)
        return std::nullopt;
    auto const text = value.substr(at + parameter.size());
    unsigned seconds = 0;
    auto const read =
        std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (read.ec != std::errc())
        return std::nullopt;
    return std::max<core::duration>(std::chrono::seconds(seconds) - margin,
                                    core::duration::zero());
}

} // namespace kumquatloom::entry
