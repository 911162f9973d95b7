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

struct retry_settings
{
    /// Most attempts of one request, including the first one.
    std::size_t max_attempts = 3;
    /// No retry is started with less time than this until the deadline. The
    /// default covers one round trip between regions.
    std::chrono::milliseconds min_remaining_time{20};
};

/// Why another attempt is made, or why it is denied.
using retry_decision = core::result<retry_reason, retry_denied_reason>;

/// Decides whether a request is retried on another upstream after an attempt
/// has failed. Thread-safe.
class retry_decider
{
public:
    /// Value of `max_attempts` that leaves only the bound of the settings.
    static constexpr std::size_t unlimited =
        std::numeric_limits<std::size_t>::max();

    /// The budget and the counters must outlive the decider.
    retry_decider(retry_settings settings,
                  limits::retry_budget& budget,
                  retry_counters& counters);

    /// Decides, and charges a retry to the budget unless no upstream has
    /// received anything yet. At least one attempt must have failed.
    /// `max_attempts` is the bound of the route. `is_paid` says that the retry
    /// has already been taken from the budget.
    retry_decision decide(attempt_state const& state,
                          core::time_point now,
                          std::size_t max_attempts = unlimited,
                          bool is_paid = false) const;

private:
    /// The reason to deny a retry, apart from the budget.
    std::optional<retry_denied_reason>
    denial_reason(attempt_state const& state,
                  core::time_point now,
                  std::size_t max_attempts) const;

    retry_settings settings_;
    limits::retry_budget& budget_;
    retry_counters& counters_;
};

} // namespace kumquatloom::request

#endif
