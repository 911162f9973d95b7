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

/// The stories of all requests in some logs.
class trace_index
{
public:
    /// Reads lines to the end of the input. An empty id reads all requests.
    void read(std::istream& input, std::string const& only);

    /// The story of a request; empty if no line names it.
    request_trace const& trace(std::string const& id) const;

    /// Requests by cause.
    std::array<std::size_t, static_cast<std::size_t>(failure_cause::count)>
    counts_by_cause() const;

    /// Requests in the logs.
    std::size_t size() const
    {
        return stories_.size();
    }

    /// Lines that instances report to have dropped.
    std::size_t dropped_lines() const
    {
        return dropped_;
    }

private:
    void mark_interrupted();

    /// When each instance started, in milliseconds since the epoch.
    std::map<std::string, std::int64_t> last_starts_;
    /// Stories by request id.
    std::map<std::string, request_trace> stories_;
    /// Lines that were dropped.
    std::size_t dropped_ = 0;
};

} // namespace kumquatloom::explain

#endif
