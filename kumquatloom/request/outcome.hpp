#ifndef KUMQUATLOOM_REQUEST_OUTCOME_HPP
#define KUMQUATLOOM_REQUEST_OUTCOME_HPP

#include <string_view>

namespace kumquatloom::request
{

/// What the system knows about a request when it answers the caller.
enum class outcome
{
    /// An upstream ran it and its complete answer is passed on.
    completed,
    /// It was proven that no upstream ran it.
    not_run,
    /// It may or may not have been run.
    unknown,
    count
};

/// Text of the header field and of the metric label.
std::string_view to_string(outcome value);

} // namespace kumquatloom::request

#endif
