#ifndef KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_UPSTREAM_ACTION_HPP
#define KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_UPSTREAM_ACTION_HPP

namespace kumquatloom::fault_matrix
{

/// How a scripted upstream handles each connection and request.
enum class upstream_action
{
    respond,
    refuse_connections,
    ignore_connections,
    reset_on_accept,
    read_nothing,
    reset_in_request,
    run_then_close,
    run_then_reset,
    run_then_stall,
    respond_late,
    respond_after_delay,
    respond_with_wrong_id,
    respond_with_previous_first,
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
    count
};

} // namespace kumquatloom::fault_matrix

#endif
