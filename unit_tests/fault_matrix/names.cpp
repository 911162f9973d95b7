#include <array>
#include <unit_tests/fault_matrix/fault.hpp>
#include <unit_tests/fault_matrix/step.hpp>

namespace kumquatloom::fault_matrix
{

std::string_view to_string(step value)
{
    static constexpr std::array<std::string_view,
                                static_cast<std::size_t>(step::count)>
        names = {"entry_choice", "admission", "pick",      "connect", "write",
                 "wait",         "read_head", "read_body", "deliver", "resend",
                 "read_base",    "append",    "reply",     "reduce",  "spread",
                 "snapshot",     "eject",     "readmit",   "join",    "leave",
                 "replace"};
    return names[static_cast<std::size_t>(value)];
}

std::string_view to_string(fault value)
{
    static constexpr std::array<std::string_view,
                                static_cast<std::size_t>(fault::count)>
        names = {"loss_towards",
                 "loss_back",
                 "delay",
                 "reset",
                 "partial_data",
                 "foreign_answer",
                 "late_answer",
                 "reordered_answer",
                 "crash",
                 "pause",
                 "log_down",
                 "log_slow",
                 "reply_lost",
                 "list_stale",
                 "flapping",
                 "drain",
                 "cold_start"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace kumquatloom::fault_matrix
