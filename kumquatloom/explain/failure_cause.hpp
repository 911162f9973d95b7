#ifndef KUMQUATLOOM_EXPLAIN_FAILURE_CAUSE_HPP
#define KUMQUATLOOM_EXPLAIN_FAILURE_CAUSE_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::explain
{

/// Why a request was not served in time.
enum class failure_cause : std::uint8_t
{
    /// It was served in time.
    none,
    /// No configuration was known yet.
    no_configuration,
    /// No configuration allows it, or it was malformed.
    not_allowed,
    /// The caller left before the answer.
    caller_left,
    /// It waited in vain for a free slot.
    no_free_slot,
    /// Upstreams stated that they did not run it, and no attempt was left.
    refused_by_upstreams,
    /// An upstream without a bad record broke the connection.
    new_gray_upstream,
    /// An upstream that was avoided got it, because nothing else was free.
    reserve_failed,
    /// No connection to an upstream could be made.
    unreachable,
    /// An upstream gave a wrong or partial answer.
    wrong_answer,
    /// An upstream did not answer in time.
    silent_upstream,
    /// The upstream itself answered with an error.
    upstream_error,
    /// It was served late, mostly because it waited here.
    late_waiting,
    /// It was served late, because an earlier attempt failed.
    late_retry,
    /// It was served late by a slow upstream.
    late_upstream,
    /// The instance that worked on it ended or was killed.
    instance_ended,
    /// The lines do not show it.
    unknown,
    count
};

/// The cause as a label.
std::string_view to_string(failure_cause cause);

} // namespace kumquatloom::explain

#endif
