#ifndef KUMQUATLOOM_ENTRY_ANSWER_REASON_HPP
#define KUMQUATLOOM_ENTRY_ANSWER_REASON_HPP

#include <string_view>

namespace kumquatloom::entry
{

/// Why the system itself answered a request.
enum class answer_reason
{
    malformed_request,
    request_timeout,
    header_too_large,
    body_too_large,
    unauthenticated,
    forbidden,
    no_route,
    no_upstream,
    connections_busy,
    connect_failed,
    refused_by_upstream,
    deadline_passed,
    attempt_timeout,
    connection_lost,
    wrong_answer,
    late_answer,
    answer_too_large,
    buffers_full,
    internal_fault,
    count
};

/// Name of the reason in headers and metric labels.
std::string_view to_string(answer_reason reason);

/// HTTP status of an answer with the reason.
unsigned http_status(answer_reason reason);

} // namespace kumquatloom::entry

#endif
