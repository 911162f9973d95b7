#ifndef KUMQUATLOOM_EXPLAIN_TRACE_INDEX_HPP
#define KUMQUATLOOM_EXPLAIN_TRACE_INDEX_HPP

#include <kumquatloom/explain/failure_cause.hpp>
#include <kumquatloom/explain/request_trace.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <string>

namespace kumquatloom::explain
{

/// Groups the log lines of one or more instances by request.
class trace_index
{
public:
    /// Reads log lines to the end of the input. Keeps only the lines of the
    /// request `only`, or those of all requests if `only` is empty.
    void read(std::istream& input, std::string const& only);

    /// The lines of a request; empty if no line has its id.
    request_trace const& trace(std::string const& id) const;

    /// Number of requests for each failure cause.
    std::array<std::size_t, static_cast<std::size_t>(failure_cause::count)>
    counts_by_cause() const;

    /// Number of requests in the logs.
    std::size_t size() const
    {
        return traces_.size();
    }

    /// Number of log lines that the instances report as dropped.
    std::size_t dropped_lines() const
    {
        return dropped_;
    }

private:
    /// Marks the requests whose latest line is older than the latest start of
    /// the instance that wrote it.
    void mark_restarted_requests();

    /// Latest start time of each instance, in milliseconds since the Unix
    /// epoch.
    std::map<std::string, std::int64_t> last_starts_;
    /// Log lines by request id.
    std::map<std::string, request_trace> traces_;
    /// Number of log lines that the instances dropped.
    std::size_t dropped_ = 0;
};

} // namespace kumquatloom::explain

#endif
