#ifndef KUMQUATLOOM_MEASURE_BASELINE_PROXY_HPP
#define KUMQUATLOOM_MEASURE_BASELINE_PROXY_HPP

#include <cstdint>
#include <measure/attempt.hpp>
#include <measure/scenario.hpp>
#include <vector>

namespace kumquatloom::measure
{

/// A conventional proxy as the baseline: round robin over all upstreams,
/// ejection for 30 s after 5 consecutive errors, at most 10% of the upstreams
/// ejected, no coordination between instances, up to 3 attempts per request.
/// Responses are not verified.
class baseline_proxy
{
public:
    /// Whether the proxy detects wrong responses.
    static constexpr bool verifies_responses = false;
    /// Whether instances exchange health evidence.
    static constexpr bool shares_evidence = false;

    baseline_proxy(scenario const& setup, unsigned instance);

    /// Chooses an upstream for an attempt. Returns false if none is available.
    bool choose(simulated_attempt& attempt,
                std::uint64_t random,
                core::time_point now);
    /// Updates the outlier detection with the result of an attempt.
    void finish_attempt(simulated_attempt const& attempt,
                        health::attempt_result result,
                        core::time_point now);
    /// Whether a failed request is retried.
    bool may_retry(simulated_request const& request,
                   health::attempt_result result) const;
    /// Reads the platform's current list of upstreams.
    void update_list(core::time_point now);
    /// Called when an upstream announces that it leaves; ignored here.
    void on_leaving(unsigned) {}
    /// Periodic work; this policy has none.
    void tick(core::time_point) {}
    /// Whether this instance has ejected an upstream.
    bool is_ejected(unsigned upstream, core::time_point now) const;
    /// Whether this instance avoids an upstream; this policy never does.
    bool is_avoided(unsigned, core::time_point) const
    {
        return false;
    }

private:
    /// State of one upstream.
    struct state
    {
        unsigned consecutive_errors = 0;
        core::time_point ejected_until;
        bool is_listed = true;
    };

    /// Parameters of the run.
    scenario const& scenario_;
    /// Upstreams by number.
    std::vector<state> upstreams_;
    /// Next position of the round robin.
    std::size_t next_;
};

} // namespace kumquatloom::measure

#endif
