#ifndef KUMQUATLOOM_ENTRY_LOCAL_RESPONSE_HPP
#define KUMQUATLOOM_ENTRY_LOCAL_RESPONSE_HPP

#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/request/outcome.hpp>

#include <optional>
#include <string>

namespace kumquatloom::entry
{

/// An answer of the system itself, with the outcome, the reason and a body.
/// `come_back` is the time after which a request that was not run may be sent
/// again.
http_response system_answer(admission::refusal_reason reason,
                            request::outcome outcome,
                            std::optional<core::duration> come_back = {});

/// A successful answer with a JSON body.
http_response json_response(http::status status, std::string body);

} // namespace kumquatloom::entry

#endif
