#ifndef KUMQUATLOOM_HEALTH_ATTEMPT_REPORT_HPP
#define KUMQUATLOOM_HEALTH_ATTEMPT_REPORT_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <string_view>

namespace kumquatloom::health
{

/// How one attempt at an upstream ended.
enum class attempt_result : std::uint8_t
{
    /// A complete, verified response.
    success,
    /// A response whose status reports a failure of the upstream.
    upstream_error,
    /// The upstream refused the request under load and did not run it.
    refused,
    /// No complete response within the attempt's time limit.
    timeout,
    /// The connection could not be established.
    connect_failure,
    /// A response that failed verification.
    wrong_answer,
    /// The connection closed before the response was complete.
    cut_short,
    /// Cancelled by the caller or because another hedged attempt won; no
    /// evidence about the upstream.
    cancelled,
    count
};

/// Returns the metric label of a result.
std::string_view to_string(attempt_result result);

/// Result of one attempt at an upstream.
struct attempt_report
{
    /// The upstream that the attempt was sent to.
    core::upstream_id upstream;
    attempt_result result = attempt_result::success;
    /// Time from the first byte sent to the last byte received.
    core::duration latency{};
    /// Time limit of the attempt.
    core::duration time_limit{};
};

} // namespace kumquatloom::health

#endif
