#ifndef KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_FAULT_HPP
#define KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_FAULT_HPP

#include <string_view>

namespace kumquatloom::fault_matrix
{

/// The faults that can strike at a step. A new fault is added here, and the
/// matrix fails until each of its cells is planned.
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
    /// Number of faults.
    count
};

/// Name of a fault, for the report.
std::string_view to_string(fault which);

} // namespace kumquatloom::fault_matrix

#endif
