#include <kumquatloom/entry/exchange_result.hpp>

namespace kumquatloom::entry
{

std::string_view to_string(exchange_end end)
{
    switch (end)
    {
    case exchange_end::answered:
        return "answered";
    case exchange_end::refused:
        return "refused";
    case exchange_end::connect_failure:
        return "connect-failure";
    case exchange_end::no_connection:
        return "no-connection";
    case exchange_end::not_written:
        return "not-written";
    case exchange_end::timeout:
        return "timeout";
    case exchange_end::wrong_answer:
        return "wrong-answer";
    case exchange_end::cut_short:
        return "cut-short";
    case exchange_end::answer_too_large:
        return "answer-too-large";
    case exchange_end::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace kumquatloom::entry
