#ifndef KUMQUATLOOM_REQUEST_START_DECISION_HPP
#define KUMQUATLOOM_REQUEST_START_DECISION_HPP

namespace kumquatloom::request
{

/// Whether a pipelined request starts beside earlier ones of its connection.
enum class start_decision
{
    /// It starts now.
    start,
    /// It may start beside others, but its service has no capacity to spare.
    later,
    /// It must run alone.
    alone
};

} // namespace kumquatloom::request

#endif
