#ifndef KUMQUATLOOM_ENTRY_EXCHANGE_RESULT_HPP
#define KUMQUATLOOM_ENTRY_EXCHANGE_RESULT_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_budget.hpp>

#include <string_view>

namespace kumquatloom::entry
{

/// How sending a request to one upstream ended.
enum class exchange_end
{
    /// A complete and verified answer.
    answered,
    /// A verified refusal: the upstream did not run the request.
    refused,
    connect_failure,
    /// No connection of the pool became free in time.
    no_connection,
    /// The deadline passed or the request may not be written any more.
    not_written,
    timeout,
    wrong_answer,
    cut_short,
    /// The answer exceeds the bounds of this instance.
    answer_too_large,
    /// Nobody needs the answer any more.
    cancelled
};

/// The end as text for log lines.
std::string_view to_string(exchange_end end);

/// The result of sending a request to one upstream.
struct exchange_result
{
    /// How it ended.
    exchange_end end = exchange_end::cancelled;
    /// The answer, if there is one.
    http_response answer;
    /// The memory of the answer's body.
    memory_account::reservation memory;
    /// From the first byte sent to the last byte received.
    core::duration latency{};
};

} // namespace kumquatloom::entry

#endif
