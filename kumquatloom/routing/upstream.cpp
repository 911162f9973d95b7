#include <kumquatloom/routing/upstream.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace kumquatloom::routing
{

namespace
{

using namespace std::chrono_literals;

/// Weight at the start of slow start.
constexpr double slow_start_weight = 0.1;
/// Bounds on how long a load report of full slots is used. Within them it is
/// used for one smoothed latency, after which one of the requests should have
/// ended.
constexpr core::duration min_report_age = 5ms;
constexpr core::duration max_report_age = 200ms;
/// Time within which an upstream that resets its requests has reset one: a
/// round trip in the region and a scheduling delay.
constexpr core::duration max_reset_time = 20ms;
/// Time after which attempts in flight no longer count as requests that keep
/// the upstream covered: a request may hang until its deadline.
constexpr core::duration max_covering_attempt = 500ms;
/// Time between two requests of this instance that keep an upstream covered.
constexpr core::duration min_coverage_interval = 1s;
/// Lower bound of the success rate that costs are divided by. The division
/// keeps upstreams that fail quickly from attracting requests with their low
/// latency.
constexpr double min_success_rate = 0.1;
constexpr double weight_scale = 1000;
/// Lower bound of the number of free slots that a draw is weighted with.
constexpr double min_free_slots = 0.1;

core::duration::rep ticks(core::time_point time)
{
    return time.time_since_epoch().count();
}

/// Raises a stored time to `at`; an earlier time is ignored.
void advance(std::atomic<core::duration::rep>& stored, core::time_point at)
{
    auto current = stored.load(std::memory_order_relaxed);
    while (current < ticks(at) &&
           !stored.compare_exchange_weak(
               current, ticks(at), std::memory_order_relaxed))
    {
    }
}

} // namespace

upstream::upstream(upstream_endpoint endpoint,
                   core::time_point now,
                   core::duration warm_up)
    : endpoint_(std::move(endpoint))
    , recorder_(new health::attempt_recorder)
    , slow_start_began_(now)
    , warm_up_(warm_up)
    , concurrency_limit_(endpoint_.slots)
    , reported_at_(ticks(now))
{
}

void upstream::report_load(unsigned in_flight, core::time_point now)
{
    reported_load_.store(in_flight, std::memory_order_relaxed);
    reported_at_.store(ticks(now), std::memory_order_relaxed);
}

void upstream::record_success(core::time_point at)
{
    advance(last_success_, at);
}

void upstream::record_failure()
{
    last_success_.store(ticks(core::time_point::min()),
                        std::memory_order_relaxed);
    last_start_.store(ticks(core::time_point::min()),
                      std::memory_order_relaxed);
}

void upstream::record_start(core::time_point now)
{
    advance(last_start_, now);
}

core::time_point upstream::last_success(core::time_point now) const
{
    core::time_point const success(
        core::duration(last_success_.load(std::memory_order_relaxed)));
    core::time_point const start(
        core::duration(last_start_.load(std::memory_order_relaxed)));
    bool const is_running = in_flight() != 0 && start <= now - max_reset_time;
    return is_running ? std::max(success, start) : success;
}

void upstream::hold_until(core::time_point until)
{
    advance(held_until_, until);
}

void upstream::publish(health::standing_decision const& decision,
                       core::time_point lease_expiry)
{
    lease_expiry_.store(ticks(lease_expiry), std::memory_order_relaxed);
    weight_.store(
        static_cast<unsigned>(std::lround(decision.weight * weight_scale)),
        std::memory_order_relaxed);
    last_resort_.store(decision.last_resort, std::memory_order_relaxed);
    coverage_due_at_.store(ticks(decision.coverage_due_at),
                           std::memory_order_relaxed);
    if (decision.trial)
    {
        trial_due_at_.store(ticks(decision.trial_due_at),
                            std::memory_order_relaxed);
        trial_due_.store(true, std::memory_order_relaxed);
    }
    else if (decision.standing != health::upstream_standing::avoided)
        trial_due_.store(false, std::memory_order_relaxed);
    standing_.store(decision.standing, std::memory_order_release);
}

health::upstream_standing upstream::standing(core::time_point now) const
{
    if (is_leaving())
        return health::upstream_standing::leaving;
    auto const decided_standing = standing_.load(std::memory_order_acquire);
    bool const lease_expired =
        decided_standing == health::upstream_standing::ejected &&
        ticks(now) >= lease_expiry_.load(std::memory_order_relaxed);
    return lease_expired ? health::upstream_standing::avoided
                         : decided_standing;
}

bool upstream::has_free_slot(core::time_point now) const
{
    if (is_held(now) ||
        in_flight() >= concurrency_limit_.load(std::memory_order_relaxed) ||
        known_in_flight() >= endpoint_.slots)
        return false;
    if (reported_load_.load(std::memory_order_relaxed) < endpoint_.slots)
        return true;
    core::duration const age(ticks(now) -
                             reported_at_.load(std::memory_order_relaxed));
    return age > std::clamp(recorder_->smoothed_latency(),
                            min_report_age,
                            max_report_age);
}

bool upstream::is_coverage_due(core::time_point now) const
{
    // An attempt in flight covers the upstream, unless it hangs.
    return now >= coverage_due_at() &&
           (known_in_flight() == 0 ||
            now - coverage_due_at() >= max_covering_attempt) &&
           now - core::time_point(core::duration(
                     coverage_claimed_at_.load(std::memory_order_relaxed))) >=
               min_coverage_interval;
}

bool upstream::claim_coverage(core::time_point now)
{
    auto last = coverage_claimed_at_.load(std::memory_order_relaxed);
    return is_coverage_due(now) &&
           coverage_claimed_at_.compare_exchange_strong(
               last, ticks(now), std::memory_order_relaxed);
}

double upstream::weight(core::time_point now) const
{
    double const decided_weight =
        weight_.load(std::memory_order_relaxed) / weight_scale;
    auto const age = now - slow_start_began_;
    if (age >= warm_up_)
        return decided_weight;
    double const progress = std::chrono::duration<double>(age) /
                            std::chrono::duration<double>(warm_up_);
    return decided_weight * std::max(progress, slow_start_weight);
}

double upstream::utilisation(core::time_point now) const
{
    // At least one slot is assumed, so that a cold upstream receives the
    // requests that warm it up.
    double const slots = std::max(1.0, endpoint_.slots * weight(now));
    return known_in_flight() / slots;
}

double upstream::free_slots(core::time_point now) const
{
    return std::max(endpoint_.slots * weight(now) - known_in_flight(),
                    min_free_slots);
}

double upstream::cost(double fallback) const
{
    double const latency = latency_seconds();
    return (in_flight() + 1) * (latency > 0 ? latency : fallback) /
           std::max(recorder_->smoothed_success_rate(), min_success_rate);
}

double upstream::latency_seconds() const
{
    return std::chrono::duration<double>(recorder_->smoothed_latency()).count();
}

} // namespace kumquatloom::routing
