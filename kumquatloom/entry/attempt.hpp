#ifndef KUMQUATLOOM_ENTRY_ATTEMPT_HPP
#define KUMQUATLOOM_ENTRY_ATTEMPT_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/answer_reason.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_account.hpp>

#include <optional>

namespace kumquatloom::entry
{

/// How much of a request an upstream may have seen.
enum class sent_state
{
    nothing_written,
    written,
    refused_by_upstream
};

/// The result of sending a request to one upstream.
struct attempt
{
    /// Why there is no answer; nothing if there is one.
    std::optional<answer_reason> failure;
    /// Whether the request can have run.
    sent_state sent = sent_state::nothing_written;
    /// The complete and verified answer.
    http_response answer;
    /// The memory of the answer's body.
    memory_account::reservation memory;
    /// Time from the start of the attempt to its result.
    core::duration latency{};
    /// Whether the caller went away in the meantime.
    bool cancelled = false;
};

} // namespace kumquatloom::entry

#endif
