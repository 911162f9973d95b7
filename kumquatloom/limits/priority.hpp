#ifndef KUMQUATLOOM_LIMITS_PRIORITY_HPP
#define KUMQUATLOOM_LIMITS_PRIORITY_HPP

#include <optional>
#include <string_view>

namespace kumquatloom::limits
{

/// Priority of a request. The caller or the settings of the route give it.
enum class priority
{
    high,
    normal,
    low,
    count
};

/// The value of the header field and of the metric label.
std::string_view to_string(priority value);

/// Converts a rank, of which 0 is the highest. Ranks past the last one are
/// low priority.
priority priority_of_rank(unsigned rank);

/// Parses the value of `Kumquatloom-Priority`.
std::optional<priority> parse_priority(std::string_view text);

} // namespace kumquatloom::limits

#endif
