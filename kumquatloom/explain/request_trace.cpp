#include <kumquatloom/explain/request_trace.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::explain
{

namespace
{

constexpr std::string_view refused_event = "request_refused";
constexpr std::string_view answered_event = "request_answered";
constexpr std::string_view started_event = "attempt_started";
constexpr std::string_view ended_event = "attempt_ended";

constexpr std::int64_t first_server_error = 500;

/// Whether two log lines describe the same attempt of a request.
bool same_attempt(log_line const& left, log_line const& right)
{
    return left.instance == right.instance &&
           left.text("attempt") == right.text("attempt");
}

} // namespace

void request_trace::add(log_line line)
{
    lines_.push_back(std::move(line));
}

bool request_trace::failed_or_late() const
{
    auto const result = cause();
    return result != failure_cause::none;
}

failure_cause request_trace::cause() const
{
    if (auto const* const refusal = last_event(refused_event))
        return refusal->text("reason") == "no-document"
                   ? failure_cause::no_configuration
                   : failure_cause::not_permitted;
    if (auto const* const answer = last_event(answered_event))
        return cause_of_answer(*answer);
    if (restarted_)
        return failure_cause::instance_stopped;
    // The log's rate limit may drop the line of a successful answer, but never
    // that of a failed one.
    return last_event(ended_event) != nullptr ? failure_cause::none
                                              : failure_cause::unknown;
}

log_line const* request_trace::latest_line() const
{
    auto const found =
        std::max_element(lines_.begin(),
                         lines_.end(),
                         [](log_line const& left, log_line const& right)
                         {
                             return left.time_ms < right.time_ms;
                         });
    return found == lines_.end() ? nullptr : &*found;
}

std::string request_trace::summary() const
{
    std::string text(to_string(cause()));
    if (auto const* const answer = last_event(answered_event))
        text += ": status " + answer->text("status") + " (outcome " +
                answer->text("outcome") + ") after " +
                answer->text("total_ms") + " ms and " +
                answer->text("attempts") + " attempts";
    else if (auto const* const refusal = last_event(refused_event))
        text += ": status " + refusal->text("status") + ", reason " +
                refusal->text("reason") + ", configuration version " +
                refusal->text("document");
    if (auto const* const ended = last_event(ended_event))
        text += "; last attempt on " + ended->text("upstream") + ": " +
                ended->text("end") + " after " + ended->text("latency_ms") +
                " ms";
    if (auto const* const started = last_event(started_event))
        text += "; upstream standing " + started->text("standing") + ", " +
                started->text("known_in_flight") + " of " +
                started->text("slots") + " slots in use, upstream list " +
                started->text("list_age_ms") + " ms old";
    return text;
}

std::vector<log_line> request_trace::timeline() const
{
    auto sorted = lines_;
    std::stable_sort(sorted.begin(),
                     sorted.end(),
                     [](log_line const& left, log_line const& right)
                     {
                         return left.time_ms < right.time_ms;
                     });
    return sorted;
}

std::string request_trace::missing_lines() const
{
    if (lines_.empty())
        return "no log line has this request id: the request reached no "
               "instance whose log was given, or its lines were not logged";
    if (last_event(answered_event) == nullptr &&
        last_event(refused_event) == nullptr && !restarted_)
        return "the request_answered line is missing: the instance stopped, or "
               "the request succeeded and its line was not logged";
    return {};
}

log_line const* request_trace::last_event(std::string_view event) const
{
    auto const found = std::find_if(lines_.rbegin(),
                                    lines_.rend(),
                                    [event](log_line const& line)
                                    {
                                        return line.event == event;
                                    });
    return found == lines_.rend() ? nullptr : &*found;
}

failure_cause request_trace::cause_of_answer(log_line const& answer) const
{
    bool const late = answer.text("late") == "true";
    auto const reason = answer.text("reason");
    if (answer.text("caller_left") == "true")
        return failure_cause::caller_left;
    if (reason.empty() && answer.number("status") >= first_server_error)
        return failure_cause::upstream_error;
    if (reason.empty() && !late)
        return failure_cause::none;
    if (reason.empty())
    {
        if (answer.number("behind_ms") * 2 > answer.number("total_ms"))
            return failure_cause::late_behind_others;
        if (answer.number("attempts") > 1)
            return failure_cause::late_retry;
        auto const* const started = last_event(started_event);
        if (started == nullptr)
            return failure_cause::unknown;
        auto const waited = started->number("waited_ms");
        return waited * 2 > answer.number("total_ms")
                   ? failure_cause::late_queueing
                   : failure_cause::late_upstream;
    }
    if (answer.number("attempts") == 0)
        return failure_cause::no_free_slot;
    return cause_of_attempt();
}

failure_cause request_trace::cause_of_attempt() const
{
    auto const* const ended = last_event(ended_event);
    if (ended == nullptr)
        return failure_cause::unknown;
    auto const end = ended->text("end");
    if (end == "refused")
        return failure_cause::rejected_by_upstreams;
    if (end == "timeout")
        return failure_cause::upstream_timeout;
    if (end == "connect-failure" || end == "no-connection" ||
        end == "not-written")
        return failure_cause::unreachable;
    if (end == "wrong-answer" || end == "answer-too-large" || end == "answered")
        return failure_cause::invalid_response;
    if (end == "cancelled")
        return failure_cause::caller_left;
    // The connection broke. The standing of the upstream when the attempt
    // started shows whether a failure was expected.
    for (auto const& line : lines_)
        if (line.event == started_event && same_attempt(line, *ended))
            return line.text("standing") == "avoided"
                       ? failure_cause::avoided_upstream_failed
                       : failure_cause::undetected_upstream_failure;
    return failure_cause::unknown;
}

} // namespace kumquatloom::explain
