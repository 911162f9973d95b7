#ifndef KUMQUATLOOM_LIMITS_COVERAGE_TRIALS_HPP
#define KUMQUATLOOM_LIMITS_COVERAGE_TRIALS_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/decayed_sum.hpp>

#include <cstdint>

namespace kumquatloom::limits
{

/// Decides when any request of a service may be a trial at an avoided upstream,
/// although it can't be repeated. Handles a service that serves only part of
/// its requests, so that its upstreams must stay covered. Not thread-safe.
class coverage_trials
{
public:
    coverage_trials();

    /// Counts the end of a request and whether it was served.
    void record_request(bool is_served, core::time_point now);

    /// Whether the service serves so few of its requests that its upstreams
    /// must be kept covered.
    bool is_needed(core::time_point now) const;

    /// Whether any request may be a trial now.
    bool permits(core::time_point now) const;

    /// Counts a trial by a request that can't be repeated.
    void record_trial();

    /// Share of the recent requests that were not served.
    double unserved_share(core::time_point now) const;

private:
    decayed_sum requests_;
    decayed_sum unserved_;
    /// Requests since the last trial.
    std::uint64_t since_trial_ = 0;
};

} // namespace kumquatloom::limits

#endif
