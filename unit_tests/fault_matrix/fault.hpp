#ifndef KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_FAULT_HPP
#define KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_FAULT_HPP

#include <string_view>

namespace kumquatloom::fault_matrix
{

/// The faults that can occur at a step. A new fault must be added here and in
/// to_string().
enum class fault
{
    loss_towards,
    loss_back,
    delay,
    reset,
    partial_data,
    foreign_answer,
    late_answer,
    reordered_answer,
    crash,
    pause,
    log_down,
    log_slow,
    reply_lost,
    list_stale,
    flapping,
    drain,
    cold_start,
    count
};

/// Name of a fault in the report.
std::string_view to_string(fault value);

} // namespace kumquatloom::fault_matrix

#endif
