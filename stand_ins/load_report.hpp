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

/// What callers saw during a load, and what the upstreams' audits say to it.
struct load_report
{
    /// Requests that were sent.
    std::uint64_t requests = 0;
    /// Whole answers to the right request.
    std::uint64_t completed = 0;
    /// Answers of the system that the request was not run.
    std::uint64_t not_run = 0;
    /// Answers of the system that it does not know.
    std::uint64_t unknown = 0;
    /// Requests without any answer.
    std::uint64_t no_answer = 0;
    /// Answers to another request, or not whole.
    std::uint64_t wrong = 0;
    /// Answers with an error status of the upstream.
    std::uint64_t upstream_errors = 0;
    /// Answers later than the deadline.
    std::uint64_t late = 0;
    /// Resends of a write with the same ticket.
    std::uint64_t resends = 0;
    /// Writes that ran more than once.
    std::uint64_t double_executions = 0;
    /// Requests that ran although the caller was told that they did not.
    std::uint64_t false_not_run = 0;
    /// Writes that did not run although the caller was told that they did.
    std::uint64_t false_completed = 0;
    /// Requests to upstreams that had been leaving for more than 3 s.
    std::uint64_t late_work_to_leaving = 0;
    /// Upstreams whose audit could not be read.
    std::uint64_t unread_audits = 0;
    /// Answer times of completed requests.
    std::vector<std::chrono::microseconds> latencies;
    /// Operations of writes, with the last outcome that the caller saw.
    std::set<std::string> writes;
    /// Operations that the caller was last told were not run.
    std::set<std::string> reported_not_run;
    /// Writes that the caller was told were completed.
    std::set<std::string> reported_completed;

    /// Whether no invariant was broken and every audit was read.
    bool invariants_hold() const;

    /// A percentile of the answer times.
    std::chrono::microseconds latency_percentile(double percent) const;

    /// The figures as JSON.
    boost::json::object to_json() const;
};

} // namespace kumquatloom::stand_ins

#endif
