#include <kumquatloom/health/coverage_schedule.hpp>

#include <chrono>

namespace kumquatloom::health
{

namespace
{

using namespace std::chrono_literals;

/// Time from the last result to the turn of the first observer. It leaves a
/// second for the turns of several observers and for the request itself.
constexpr core::duration interval = 1s;
/// The same after several failures. Most upstreams that fail so often are
/// unhealthy, and each request costs a caller the response.
constexpr core::duration failing_interval = 2500ms;
constexpr unsigned min_failures = 3;

} // namespace

void coverage_schedule::record(bool is_failure, core::time_point now)
{
    last_result_ = now;
    failures_ = is_failure ? failures_ + 1 : 0;
}

core::time_point coverage_schedule::due_at(std::size_t turn) const
{
    return last_result_ +
           (failures_ >= min_failures ? failing_interval : interval) +
           turn_duration * static_cast<int>(turn);
}

} // namespace kumquatloom::health
