#ifndef KUMQUATLOOM_STAND_INS_QUERY_HPP
#define KUMQUATLOOM_STAND_INS_QUERY_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::stand_ins
{

/// The path of a request target, without its query.
std::string_view target_path(std::string_view target);

/// A numeric parameter in the query of a request target; `fallback` if it is
/// missing or not a number.
std::uint64_t query_number(std::string_view target,
                           std::string_view key,
                           std::uint64_t fallback);

} // namespace kumquatloom::stand_ins

#endif
