#include <kumquatloom/request/retry_reason.hpp>

namespace kumquatloom::request
{

std::string_view to_string(retry_reason value)
{
    switch (value)
    {
    case retry_reason::connect_failure:
        return "connect-failure";
    case retry_reason::refused:
        return "refused";
    case retry_reason::upstream_error:
        return "upstream-error";
    case retry_reason::timeout:
        return "timeout";
    case retry_reason::wrong_answer:
        return "wrong-answer";
    case retry_reason::cut_short:
        return "cut-short";
    case retry_reason::hedge:
        return "hedge";
    case retry_reason::count:
        break;
    }
    return {};
}

} // namespace kumquatloom::request
