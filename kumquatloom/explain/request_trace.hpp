#ifndef KUMQUATLOOM_EXPLAIN_REQUEST_TRACE_HPP
#define KUMQUATLOOM_EXPLAIN_REQUEST_TRACE_HPP

#include <kumquatloom/explain/failure_cause.hpp>
#include <kumquatloom/explain/log_line.hpp>

#include <string>
#include <vector>

namespace kumquatloom::explain
{

/// What the logs of all instances tell about one request.
class request_trace
{
public:
    /// Adds a line of the request.
    void add(log_line line);

    /// States that the instance started anew after the last line.
    void interrupt()
    {
        interrupted_ = true;
    }

    /// The last line that was written; null without lines.
    log_line const* last() const;

    /// Whether the request was not served in time: refused, failed or late.
    bool went_wrong() const;

    /// Why it went wrong, as far as the lines show.
    failure_cause cause() const;

    /// The cause in one sentence, with the facts that it rests on.
    std::string summary() const;

    /// The lines in order of time.
    std::vector<log_line> timeline() const;

    /// What the lines should hold and do not; empty if all is there.
    std::string missing_lines() const;

private:
    log_line const* last_of(std::string_view event) const;
    failure_cause cause_of_answer(log_line const& answer) const;
    failure_cause cause_of_attempt() const;

    /// Whether the instance started anew after the last line.
    bool interrupted_ = false;
    /// The lines as they were added.
    std::vector<log_line> lines_;
};

} // namespace kumquatloom::explain

#endif
