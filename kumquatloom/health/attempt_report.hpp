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
    /// A response with a status that blames the upstream.
    upstream_error,
    /// An explicit refusal: the upstream sheds load and did not run it.
    refused,
    /// No complete response within the limit.
    timeout,
    /// No connection.
    connect_failure,
    /// A response that failed verification.
    wrong_answer,
    /// A response that ended too early.
    cut_short,
    /// Given up by the caller or by a hedge; says nothing about the upstream.
    cancelled,
    count
};

/// The result as a metric label.
std::string_view to_string(attempt_result result);

/// What one attempt says about its upstream.
struct attempt_report
{
    /// The upstream that was tried.
    core::upstream_id upstream;
    /// How the attempt ended.
    attempt_result result = attempt_result::success;
    /// Time from the first byte sent to the last byte received.
    core::duration latency{};
    /// Time that the attempt was allowed to take.
    core::duration limit{};
};

} // namespace kumquatloom::health

#endif
