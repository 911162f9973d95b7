#ifndef KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_UPSTREAM_ACTION_HPP
#define KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_UPSTREAM_ACTION_HPP

namespace kumquatloom::fault_matrix
{

/// How a scripted upstream handles each connection and request.
enum class upstream_action
{
    respond,
    refuse_connections,
    /// Leaves connection requests unanswered behind a full backlog.
    ignore_connections,
    reset_on_accept,
    read_nothing,
    /// Resets the connection after the head of a request.
    reset_in_request,
    run_then_close,
    run_then_reset,
    run_then_stall,
    /// Responds after the deadline of the request.
    respond_late,
    /// Responds late but before the deadline.
    respond_after_delay,
    respond_with_wrong_id,
    /// Sends the response to the previous request before its own one.
    respond_with_previous_first,
    /// Sends a body that does not match its digest.
    wrong_body,
    close_in_head,
    stall_in_head,
    delay_in_head,
    close_in_body,
    stall_in_body,
    delay_in_body,
    /// Sends the start of a second response after the first one.
    extra_bytes,
    /// States that it did not run the request.
    refuse_explicitly,
    fail_with_error,
    /// States in its response that it is leaving.
    announce_leaving,
    /// Stalls every second request.
    flap,
    count
};

} // namespace kumquatloom::fault_matrix

#endif
