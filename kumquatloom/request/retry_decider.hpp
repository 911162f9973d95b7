#ifndef KUMQUATLOOM_REQUEST_RETRY_DECIDER_HPP
#define KUMQUATLOOM_REQUEST_RETRY_DECIDER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/request/attempt_state.hpp>
#include <kumquatloom/request/retry_counters.hpp>

#include <chrono>
#include <cstddef>
#include <limits>
#include <optional>

namespace kumquatloom::limits
{
class retry_budget;
}

namespace kumquatloom::request
{

/// Bounds on further attempts.
struct retry_settings
{
    /// Most attempts of one request, the first one included.
    std::size_t max_attempts = 3;
    /// An attempt with less time than this is not worth starting; the default
    /// covers one round trip between regions.
    std::chrono::milliseconds least_time{20};
};

/// The reason for which another attempt is made, or why none is made.
using retry_decision = core::result<retry_reason, retry_denied_reason>;

/// Decides whether a request gets another attempt on another upstream after
/// one has failed. Used by several threads at once.
class retry_decider
{
public:
    /// Stands for no bound but that of the settings.
    static constexpr std::size_t no_bound =
        std::numeric_limits<std::size_t>::max();

    /// The budget and the counters must outlive the decider.
    retry_decider(retry_settings settings,
                  limits::retry_budget& budget,
                  retry_counters& counters);

    /// Decides and, for another attempt, takes it from the budget, unless no
    /// upstream has received anything yet. At least one attempt must have
    /// failed. `max_attempts` is the route's own bound.
    retry_decision decide(attempt_state const& state,
                          core::time_point now,
                          std::size_t max_attempts = no_bound) const;

private:
    /// The reason against another attempt, apart from the budget.
    std::optional<retry_denied_reason>
    objection(attempt_state const& state,
              core::time_point now,
              std::size_t max_attempts) const;

    /// Bounds on further attempts.
    retry_settings settings_;
    /// Paid from for every further attempt.
    limits::retry_budget& budget_;
    /// Counters for metrics.
    retry_counters& counters_;
};

} // namespace kumquatloom::request

#endif
