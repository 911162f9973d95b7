#ifndef KUMQUATLOOM_REQUEST_RETRY_AFTER_HPP
#define KUMQUATLOOM_REQUEST_RETRY_AFTER_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <optional>
#include <string_view>

namespace kumquatloom::request
{

/// Longest Retry-After of an upstream that is honoured; longer ones are cut.
inline constexpr std::chrono::minutes max_retry_after{10};

/// Parses the value of a Retry-After field of an upstream: seconds as a decimal
/// number, which may have a fraction. Dates, and all other texts, are
/// malformed and yield nothing.
std::optional<core::duration> parse_retry_after(std::string_view text);

} // namespace kumquatloom::request

#endif
