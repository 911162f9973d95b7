#ifndef KUMQUATLOOM_HEALTH_COVERAGE_SCHEDULE_HPP
#define KUMQUATLOOM_HEALTH_COVERAGE_SCHEDULE_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <cstddef>

namespace kumquatloom::health
{

/// Decides when an avoided upstream needs a request so that it is not left
/// without requests for 2 s, the time within which the platform expects one at
/// most healthy upstreams.
class coverage_schedule
{
public:
    /// Starts as if a result had been known at `now`.
    explicit coverage_schedule(core::time_point now)
        : last_result_(now)
    {
    }

    /// Records a result of any observer.
    void record(bool is_failure, core::time_point now);

    /// When the observer with this turn should send a request: zero for the
    /// first observer, and a multiple of `turn_duration` for the next ones.
    core::time_point due_at(std::size_t turn) const;

    /// Time between the turns of two observers. A neighbour's news of a request
    /// takes about this long.
    static constexpr core::duration turn_duration =
        std::chrono::milliseconds(200);

private:
    core::time_point last_result_;
    /// Failures since the last success.
    unsigned failures_ = 0;
};

} // namespace kumquatloom::health

#endif
