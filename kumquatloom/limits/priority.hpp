#ifndef KUMQUATLOOM_LIMITS_PRIORITY_HPP
#define KUMQUATLOOM_LIMITS_PRIORITY_HPP

#include <optional>
#include <string_view>

namespace kumquatloom::limits
{

/// Importance of a request in its caller's view.
enum class priority
{
    high,
    normal,
    low,
    count
};

/// Text of the header field and of the metric label.
std::string_view to_string(priority value);

/// The priority of a rank, of which 0 is the highest.
priority priority_of_rank(unsigned rank);

/// Reads the value of `Kumquatloom-Priority`.
std::optional<priority> parse_priority(std::string_view text);

} // namespace kumquatloom::limits

#endif
