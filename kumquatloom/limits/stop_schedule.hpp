#ifndef KUMQUATLOOM_LIMITS_STOP_SCHEDULE_HPP
#define KUMQUATLOOM_LIMITS_STOP_SCHEDULE_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>

namespace kumquatloom::limits
{

/// The end of a planned stop: by when the requests in progress get their final
/// responses, and when the process exits.
class stop_schedule
{
public:
    /// `grace` is the time from the stop signal at `begin` until the platform
    /// kills the process.
    stop_schedule(core::time_point begin, std::chrono::milliseconds grace);

    /// When requests that are still in progress are answered without waiting
    /// for their upstreams.
    core::time_point answer_by() const
    {
        return answer_by_;
    }

    /// When the process exits, even with requests in progress.
    core::time_point exit_at() const
    {
        return exit_at_;
    }

private:
    core::time_point answer_by_;
    core::time_point exit_at_;
};

/// Whether a request that arrives now during a stop can be expected to be
/// answered in time. `expected` is the estimated time to its response; zero if
/// there is no estimate.
bool can_answer_in_time(core::time_point now,
                        core::duration expected,
                        core::time_point answer_by);

} // namespace kumquatloom::limits

#endif
