#ifndef KUMQUATLOOM_STAND_INS_LOAD_REPORT_HPP
#define KUMQUATLOOM_STAND_INS_LOAD_REPORT_HPP

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace kumquatloom::stand_ins
{

/// Outcomes that callers saw during a load, and violations that the upstreams'
/// audits revealed.
struct load_report
{
    /// Requests that were sent, without resends.
    std::uint64_t requests = 0;
    /// Complete responses to the right request.
    std::uint64_t completed = 0;
    /// Responses in which the proxy states that the request was not executed.
    std::uint64_t not_run = 0;
    /// Responses in which the proxy states that the outcome is unknown.
    std::uint64_t unknown = 0;
    /// Requests without a response.
    std::uint64_t no_answer = 0;
    /// Responses to another request, or incomplete ones.
    std::uint64_t wrong = 0;
    /// Responses with an error status of the upstream.
    std::uint64_t upstream_errors = 0;
    /// Requests that took longer than the deadline.
    std::uint64_t late = 0;
    /// Resends of a write with the same ticket.
    std::uint64_t resends = 0;
    /// Writes that were executed more than once.
    std::uint64_t double_executions = 0;
    /// Requests that were executed although the response stated that they were
    /// not.
    std::uint64_t false_not_run = 0;
    /// Writes that were not executed although the response stated that they
    /// were.
    std::uint64_t false_completed = 0;
    /// Requests that reached upstreams leaving for more than 3 s.
    std::uint64_t late_work_to_leaving = 0;
    /// Upstreams whose audit could not be read.
    std::uint64_t unread_audits = 0;
    /// Latencies of completed requests.
    std::vector<std::chrono::microseconds> latencies;
    /// Operations of all writes.
    std::set<std::string> writes;
    /// Operations whose final outcome for the caller was "not run".
    std::set<std::string> reported_not_run;
    /// Writes whose final outcome for the caller was "completed".
    std::set<std::string> reported_completed;

    /// Whether no invariant was violated and all audits were read.
    bool invariants_hold() const;

    /// A percentile of the latencies.
    std::chrono::microseconds latency_percentile(double percent) const;

    /// The report as JSON.
    boost::json::object to_json() const;
};

} // namespace kumquatloom::stand_ins

#endif
