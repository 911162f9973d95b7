#include <kumquatloom/entry/answer_reason.hpp>

namespace kumquatloom::entry
{

std::string_view to_string(answer_reason reason)
{
    switch (reason)
    {
    case answer_reason::malformed_request:
        return "malformed_request";
    case answer_reason::request_timeout:
        return "request_timeout";
    case answer_reason::header_too_large:
        return "header_too_large";
    case answer_reason::body_too_large:
        return "body_too_large";
    case answer_reason::unauthenticated:
        return "unauthenticated";
    case answer_reason::forbidden:
        return "forbidden";
    case answer_reason::no_route:
        return "no_route";
    case answer_reason::no_upstream:
        return "no_upstream";
    case answer_reason::connections_busy:
        return "connections_busy";
    case answer_reason::connect_failed:
        return "connect_failed";
    case answer_reason::refused_by_upstream:
        return "refused_by_upstream";
    case answer_reason::deadline_passed:
        return "deadline_passed";
    case answer_reason::attempt_timeout:
        return "attempt_timeout";
    case answer_reason::connection_lost:
        return "connection_lost";
    case answer_reason::wrong_answer:
        return "wrong_answer";
    case answer_reason::late_answer:
        return "late_answer";
    case answer_reason::answer_too_large:
        return "answer_too_large";
    case answer_reason::buffers_full:
        return "buffers_full";
    case answer_reason::internal_fault:
    case answer_reason::count:
        break;
    }
    return "internal_fault";
}

unsigned http_status(answer_reason reason)
{
    switch (reason)
    {
    case answer_reason::malformed_request:
    case answer_reason::request_timeout:
        return 400;
    case answer_reason::header_too_large:
        return 431;
    case answer_reason::body_too_large:
        return 413;
    case answer_reason::unauthenticated:
        return 401;
    case answer_reason::forbidden:
        return 403;
    case answer_reason::no_route:
        return 404;
    case answer_reason::no_upstream:
    case answer_reason::connections_busy:
    case answer_reason::connect_failed:
    case answer_reason::refused_by_upstream:
        return 503;
    case answer_reason::deadline_passed:
    case answer_reason::attempt_timeout:
    case answer_reason::late_answer:
        return 504;
    case answer_reason::connection_lost:
    case answer_reason::wrong_answer:
    case answer_reason::answer_too_large:
    case answer_reason::buffers_full:
    case answer_reason::internal_fault:
    case answer_reason::count:
        break;
    }
    return 502;
}

} // namespace kumquatloom::entry
