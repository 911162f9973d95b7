#ifndef KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_UPSTREAM_ACTION_HPP
#define KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_UPSTREAM_ACTION_HPP

namespace kumquatloom::fault_matrix
{

/// What a scripted upstream does with each connection and request.
enum class upstream_action
{
    answer_well,
    refuse_connections,
    ignore_connections,
    reset_on_accept,
    read_nothing,
    reset_in_request,
    run_then_close,
    run_then_reset,
    run_then_stall,
    answer_late,
    answer_after_delay,
    answer_for_another,
    answer_previous_first,
    wrong_body,
    close_in_head,
    stall_in_head,
    delay_in_head,
    close_in_body,
    stall_in_body,
    delay_in_body,
    extra_bytes,
    refuse_explicitly,
    fail_with_error,
    announce_leaving,
    flap,
    /// Number of actions.
    count
};

} // namespace kumquatloom::fault_matrix

#endif
