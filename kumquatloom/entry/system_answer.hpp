#ifndef KUMQUATLOOM_ENTRY_SYSTEM_ANSWER_HPP
#define KUMQUATLOOM_ENTRY_SYSTEM_ANSWER_HPP

#include <kumquatloom/entry/answer_reason.hpp>
#include <kumquatloom/entry/http_types.hpp>

#include <string>

namespace kumquatloom::entry
{

/// What the system knows about a request that it answers itself.
enum class execution
{
    not_run,
    unknown
};

/// An answer of the system itself, with the outcome, the reason and a body.
http_response system_answer(answer_reason reason, execution known);

/// A successful answer with a JSON body.
http_response json_answer(http::status status, std::string body);

} // namespace kumquatloom::entry

#endif
