#include <kumquatloom/request/retry_after.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstddef>

namespace kumquatloom::request
{

namespace
{

/// Longest text that is parsed. Its number fits into a double.
constexpr std::size_t max_text_bytes = 32;

} // namespace

std::optional<core::duration> parse_retry_after(std::string_view text)
{
    using seconds = std::chrono::duration<double>;
    // from_chars() would also accept a sign, an exponent, "inf" and "nan".
    if (text.empty() || text.size() > max_text_bytes ||
        text.find_first_not_of("0123456789.") != text.npos)
        return std::nullopt;
    double number = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed =
        std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return std::chrono::duration_cast<core::duration>(
        std::min<seconds>(seconds(number), max_retry_after));
}

} // namespace kumquatloom::request
