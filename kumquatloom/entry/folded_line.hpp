#ifndef KUMQUATLOOM_ENTRY_FOLDED_LINE_HPP
#define KUMQUATLOOM_ENTRY_FOLDED_LINE_HPP

#include <string_view>

namespace kumquatloom::entry
{

/// Whether a complete or partial header contains a folded field line. Line
/// folding is obsolete (RFC 9112, section 5.2), and recipients that accept it
/// disagree about the field value.
bool has_folded_line(std::string_view bytes);

} // namespace kumquatloom::entry

#endif
