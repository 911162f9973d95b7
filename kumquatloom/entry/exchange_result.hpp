#ifndef KUMQUATLOOM_ENTRY_EXCHANGE_RESULT_HPP
#define KUMQUATLOOM_ENTRY_EXCHANGE_RESULT_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_budget.hpp>

#include <string_view>

namespace kumquatloom::entry
{

/// How an exchange with an upstream ended.
enum class exchange_status
{
    /// Received a complete and verified response.
    answered,
    /// Received a verified refusal: the upstream did not run the request.
    refused,
    connect_failure,
    /// No pooled connection became available before the deadline.
    no_connection,
    /// Not written, because the deadline had passed, the caller's key had been
    /// removed, or the request may already be running at another upstream.
    not_written,
    /// Not written, because the upstream announced its departure or asked for a
    /// pause after it was chosen.
    withdrawn,
    timeout,
    /// Received a response that is malformed or failed verification.
    wrong_answer,
    /// The connection failed before the response was complete.
    cut_short,
    /// The response exceeds a size or memory limit of this instance.
    answer_too_large,
    /// Cancelled, because the response is no longer needed.
    cancelled
};

/// The name in log lines.
std::string_view to_string(exchange_status status);

/// The result of an exchange with an upstream.
struct exchange_result
{
    /// How the exchange ended.
    exchange_status status = exchange_status::cancelled;
    /// The response, if the exchange was answered or refused.
    http_response response;
    /// Memory reserved for the response body.
    memory_budget::reservation memory;
    /// Whether the response has status 503 and a Retry-After field.
    bool asks_for_pause = false;
    /// Time from the first byte sent to the last byte received.
    core::duration latency{};
};

} // namespace kumquatloom::entry

#endif
