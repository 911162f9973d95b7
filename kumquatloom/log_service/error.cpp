#include <kumquatloom/log_service/error.hpp>

namespace kumquatloom::log_service
{

std::string_view to_string(http_error error)
{
    switch (error)
    {
    case http_error::not_connected:
        return "not_connected";
    case http_error::timed_out:
        return "timed_out";
    case http_error::cut_short:
        return "cut_short";
    case http_error::too_large:
        return "too_large";
    case http_error::malformed:
        break;
    }
    return "malformed";
}

std::string_view to_string(read_error error)
{
    switch (error)
    {
    case read_error::unreachable:
        return "unreachable";
    case read_error::outage:
        return "outage";
    case read_error::rate_limited:
        return "rate_limited";
    case read_error::retention_cut:
        return "retention_cut";
    case read_error::malformed:
        break;
    }
    return "malformed";
}

std::string_view to_string(append_error error)
{
    switch (error)
    {
    case append_error::unreachable:
        return "unreachable";
    case append_error::outage:
        return "outage";
    case append_error::rate_limited:
        return "rate_limited";
    case append_error::refused:
        return "refused";
    case append_error::unknown:
        break;
    }
    return "unknown";
}

read_error to_read_error(unsigned status)
{
    constexpr unsigned status_gone = 410;
    constexpr unsigned status_too_many_requests = 429;
    constexpr unsigned status_unavailable = 503;
    switch (status)
    {
    case status_gone:
        return read_error::retention_cut;
    case status_too_many_requests:
        return read_error::rate_limited;
    case status_unavailable:
        return read_error::outage;
    default:
        return read_error::malformed;
    }
}

read_error to_read_error(http_error error)
{
    switch (error)
    {
    case http_error::too_large:
    case http_error::malformed:
        return read_error::malformed;
    case http_error::not_connected:
    case http_error::timed_out:
    case http_error::cut_short:
        break;
    }
    return read_error::unreachable;
}

} // namespace kumquatloom::log_service
