#ifndef KUMQUATLOOM_EXPLAIN_REQUEST_TRACE_HPP
#define KUMQUATLOOM_EXPLAIN_REQUEST_TRACE_HPP

#include <kumquatloom/explain/failure_cause.hpp>
#include <kumquatloom/explain/log_line.hpp>

#include <string>
#include <vector>

namespace kumquatloom::explain
{

/// The log lines of all instances about one request, and the failure cause
/// derived from them.
class request_trace
{
public:
    /// Adds a log line of the request.
    void add(log_line line);

    /// Records that the instance that wrote the line with the latest time
    /// restarted after it.
    void mark_restarted()
    {
        restarted_ = true;
    }

    /// The line with the latest time, or null if there are no lines.
    log_line const* latest_line() const;

    /// Whether the request was rejected, failed or was answered late.
    bool failed_or_late() const;

    /// The failure cause, as far as the lines determine it.
    failure_cause cause() const;

    /// The cause and the logged values that it is derived from, as one line.
    std::string summary() const;

    /// The lines sorted by time.
    std::vector<log_line> timeline() const;

    /// Describes which expected lines are missing; empty if none are.
    std::string missing_lines() const;

private:
    /// The line of an event that was added last, or null if there is none.
    log_line const* last_event(std::string_view event) const;
    /// The cause according to a request_answered line.
    failure_cause cause_of_answer(log_line const& answer) const;
    /// The cause according to the attempt_ended line that was added last.
    failure_cause cause_of_attempt() const;

    /// Whether the instance that wrote the line with the latest time restarted
    /// after it.
    bool restarted_ = false;
    /// The lines in the order in which they were added.
    std::vector<log_line> lines_;
};

} // namespace kumquatloom::explain

#endif
