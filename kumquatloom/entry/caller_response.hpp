#ifndef KUMQUATLOOM_ENTRY_CALLER_RESPONSE_HPP
#define KUMQUATLOOM_ENTRY_CALLER_RESPONSE_HPP

#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/request/stored_response.hpp>

namespace kumquatloom::entry
{

/// An upstream's answer as the caller may see it: without the headers of the
/// connection and of the system, with the outcome "completed".
http_response caller_answer(http_response answer);

/// A copy of an answer to a caller, for resends.
boost::intrusive_ptr<request::stored_response>
keep_answer(http_response const& answer);

/// The answer that was kept.
http_response kept_answer(request::stored_response const& kept);

} // namespace kumquatloom::entry

#endif
