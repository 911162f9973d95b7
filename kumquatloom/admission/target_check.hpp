#ifndef KUMQUATLOOM_ADMISSION_TARGET_CHECK_HPP
#define KUMQUATLOOM_ADMISSION_TARGET_CHECK_HPP

#include <string_view>

namespace kumquatloom::admission
{

/// The part of a request target before the query.
std::string_view path_of(std::string_view target);

/// Whether the target is a path, with an optional query, that every upstream
/// interprets as the same path as the route table does. False for other forms
/// of a target, for empty and dot segments, for path parameters, and for
/// escapes of characters that need none or that an upstream could take for a
/// separator.
bool is_unambiguous_target(std::string_view target);

} // namespace kumquatloom::admission

#endif
