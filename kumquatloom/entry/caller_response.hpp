#ifndef KUMQUATLOOM_ENTRY_CALLER_RESPONSE_HPP
#define KUMQUATLOOM_ENTRY_CALLER_RESPONSE_HPP

#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/request/stored_response.hpp>

namespace kumquatloom::entry
{

/// Converts an upstream's response to the response for the caller: removes
/// hop-by-hop and internal headers and sets the outcome "completed".
http_response caller_response(http_response response);

/// Copies a response to a caller for storage, so that a resent request gets the
/// same response.
boost::intrusive_ptr<request::stored_response>
make_stored_response(http_response const& response);

/// Restores a stored response.
http_response restore_response(request::stored_response const& stored);

} // namespace kumquatloom::entry

#endif
