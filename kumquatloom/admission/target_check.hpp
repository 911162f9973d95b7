#ifndef KUMQUATLOOM_ADMISSION_TARGET_CHECK_HPP
#define KUMQUATLOOM_ADMISSION_TARGET_CHECK_HPP

#include <string_view>

namespace kumquatloom::admission
{

/// The part of a request target before the query.
std::string_view path_of(std::string_view target);

/// Whether the target is a path, with an optional query, that every upstream
/// reads as the same path as the route table does. Refused are other forms,
/// empty and dot segments, path parameters, and escapes of characters that
/// need none or that an upstream could take for a separator.
bool is_plain_target(std::string_view target);

} // namespace kumquatloom::admission

#endif
