#ifndef KUMQUATLOOM_MEASURE_ATTEMPT_HPP
#define KUMQUATLOOM_MEASURE_ATTEMPT_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/routing/pick.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <vector>

namespace kumquatloom::measure
{

/// A simulated request of a caller.
struct simulated_request
    : boost::intrusive_ref_counter<simulated_request,
                                   boost::thread_unsafe_counter>
{
    /// Number of the entry instance that received the request.
    unsigned instance = 0;
    /// Whether the request may be executed more than once.
    bool is_idempotent = false;
    /// Arrival time, and the time at which the caller times out.
    core::time_point start;
    core::time_point deadline;
    /// Attempts so far, and executions by upstreams.
    unsigned attempts = 0;
    unsigned executions = 0;
    /// Whether an attempt ended with any result other than a refusal.
    bool may_have_run = false;
    /// Upstreams that were tried, which a retry avoids.
    std::vector<boost::intrusive_ptr<routing::upstream>> tried;
};

/// One attempt of a request at one upstream.
struct simulated_attempt
    : boost::intrusive_ref_counter<simulated_attempt,
                                   boost::thread_unsafe_counter>
{
    /// The request that the attempt belongs to.
    boost::intrusive_ptr<simulated_request> request;
    /// Number of the upstream.
    unsigned upstream = 0;
    /// The picker's result, for policies that use a picker.
    routing::pick chosen;
    /// When the attempt was sent.
    core::time_point sent;
    /// Whether the entry instance has finished the attempt.
    bool ended = false;
    /// Result in the upstream's response.
    health::attempt_result result = health::attempt_result::success;
    /// Load and leaving state from the response headers.
    unsigned reported_load = 0;
    bool reports_leaving = false;
};

using attempt_pointer = boost::intrusive_ptr<simulated_attempt>;

} // namespace kumquatloom::measure

#endif
