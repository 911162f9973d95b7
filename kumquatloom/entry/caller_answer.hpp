#ifndef KUMQUATLOOM_ENTRY_CALLER_ANSWER_HPP
#define KUMQUATLOOM_ENTRY_CALLER_ANSWER_HPP

#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/request/kept_response.hpp>

namespace kumquatloom::entry
{

/// Converts an upstream's response to the response for the caller: removes
/// hop-by-hop and internal headers and sets the outcome "completed".
http_response caller_answer(http_response answer);

/// Copies a response to a caller for storage, so that a resent request gets the
/// same response.
boost::intrusive_ptr<request::stored_response>
keep_answer(http_response const& answer);

/// Restores a stored response.
http_response kept_answer(request::stored_response const& kept);

} // namespace kumquatloom::entry

#endif
