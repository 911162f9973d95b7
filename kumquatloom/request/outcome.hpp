#ifndef KUMQUATLOOM_REQUEST_OUTCOME_HPP
#define KUMQUATLOOM_REQUEST_OUTCOME_HPP

#include <string_view>

namespace kumquatloom::request
{

/// What is known about the execution of a request when the response is sent to
/// the caller.
enum class outcome
{
    /// An upstream ran the request, and its complete response is passed on.
    completed,
    /// It is proven that no upstream ran the request.
    not_run,
    /// The request may or may not have been run.
    unknown,
    count
};

/// The value of the header field and of the metric label.
std::string_view to_string(outcome value);

} // namespace kumquatloom::request

#endif
