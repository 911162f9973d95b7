#ifndef KUMQUATLOOM_ENTRY_FORWARDED_HEADERS_HPP
#define KUMQUATLOOM_ENTRY_FORWARDED_HEADERS_HPP

#include <kumquatloom/entry/http_types.hpp>

#include <string>
#include <string_view>

namespace kumquatloom::entry
{

/// Appends one header line.
void append_header(std::string_view name,
                   std::string_view value,
                   std::string& head);

/// Appends the headers of a caller's request that an upstream may see: not
/// those of the connection, the credential, or the system's own.
void append_forwarded_headers(http_request const& request, std::string& head);

/// The answer as the caller may see it, without headers of the connection and
/// the system's own ones of the upstream.
http_response forwarded_answer(http_response answer, bool without_body);

} // namespace kumquatloom::entry

#endif
