#ifndef KUMQUATLOOM_LIMITS_RETRY_PREFERENCE_HPP
#define KUMQUATLOOM_LIMITS_RETRY_PREFERENCE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/decayed_sum.hpp>
#include <kumquatloom/limits/priority.hpp>

#include <array>
#include <cstddef>

namespace kumquatloom::limits
{

/// While many attempts are refused, leaves a request only what the requests of
/// higher priorities did not need of the retry budget in the last second. The
/// budget itself still has to grant each retry. Not thread-safe.
class retry_preference
{
public:
    /// `percent_of_requests` is that of the retry budget.
    explicit retry_preference(unsigned percent_of_requests);

    /// Counts a request, which adds to the budget.
    void record_request(core::time_point now);

    /// Counts a finished attempt and whether it was refused.
    void record_attempt(bool refused, core::time_point now);

    /// Whether a request that needs a retry may ask the budget for it. Counts
    /// the need.
    bool permits(priority value, core::time_point now);

    /// Counts a retry that was made.
    void record_retry(priority value);

    /// Part of the attempts that were refused in the last second.
    double refused_share(core::time_point now) const;

private:
    static constexpr std::size_t levels =
        static_cast<std::size_t>(priority::count);

    double share_of_requests_;
    /// Requests and attempts in the last second.
    decayed_sum requests_;
    decayed_sum attempts_;
    decayed_sum refused_;
    /// Needed retries by priority.
    std::array<decayed_sum, levels> needed_;
    /// Unused credit of each priority, which grows by what the higher ones
    /// don't need.
    std::array<double, levels> credit_{};
};

} // namespace kumquatloom::limits

#endif
