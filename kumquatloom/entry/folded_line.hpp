#ifndef KUMQUATLOOM_ENTRY_FOLDED_LINE_HPP
#define KUMQUATLOOM_ENTRY_FOLDED_LINE_HPP

#include <string_view>

namespace kumquatloom::entry
{

/// Whether a header, or the part of one that was received, continues a field
/// on the next line. The form is obsolete (RFC 9112, section 5.2), and
/// recipients that still accept it read different values.
bool has_folded_line(std::string_view bytes);

} // namespace kumquatloom::entry

#endif
