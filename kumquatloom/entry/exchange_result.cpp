#include <kumquatloom/entry/exchange_result.hpp>

namespace kumquatloom::entry
{

std::string_view to_string(exchange_status status)
{
    switch (status)
    {
    case exchange_status::answered:
        return "answered";
    case exchange_status::refused:
        return "refused";
    case exchange_status::connect_failure:
        return "connect-failure";
    case exchange_status::no_connection:
        return "no-connection";
    case exchange_status::not_written:
        return "not-written";
    case exchange_status::withdrawn:
        return "withdrawn";
    case exchange_status::timeout:
        return "timeout";
    case exchange_status::wrong_answer:
        return "wrong-answer";
    case exchange_status::cut_short:
        return "cut-short";
    case exchange_status::answer_too_large:
        return "answer-too-large";
    case exchange_status::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace kumquatloom::entry
