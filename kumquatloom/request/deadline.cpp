#include <kumquatloom/request/deadline.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace kumquatloom::request
{

namespace
{

/// Nine digits are eleven days, far above every route's own limit, and keep
/// the sum with the current time free of overflow.
constexpr std::size_t max_deadline_digits = 9;

} // namespace

deadline deadline::of_request(core::time_point received,
                              std::optional<std::chrono::milliseconds> header,
                              std::chrono::milliseconds route)
{
    return deadline(received + std::min(header.value_or(route), route));
}

deadline deadline::of_attempt(core::time_point now,
                              std::chrono::milliseconds service) const
{
    return deadline(std::min<core::time_point>(at_, now + service));
}

core::duration deadline::remaining(core::time_point now) const
{
    return std::max(core::duration::zero(), at_ - now);
}

std::chrono::milliseconds deadline::remaining_ms(core::time_point now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        remaining(now));
}

std::optional<std::chrono::milliseconds>
parse_deadline_ms(std::string_view text)
{
    if (text.empty() || text.size() > max_deadline_digits)
        return std::nullopt;
    std::uint32_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, number);
    if (read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return std::chrono::milliseconds(number);
}

} // namespace kumquatloom::request
