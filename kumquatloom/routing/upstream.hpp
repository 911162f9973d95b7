#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/health/attempt_recorder.hpp>
#include <kumquatloom/health/standing_decision.hpp>
#include <kumquatloom/health/upstream_standing.hpp>
#include <kumquatloom/routing/upstream_endpoint.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <cstdint>

namespace kumquatloom::routing
{

/// State of one upstream in one instance. The request path reads and changes it
/// with atomics and takes no lock. Attempts in flight keep it alive after the
/// table that contains it was replaced.
class upstream : public boost::intrusive_ref_counter<upstream>
{
public:
    /// Constructs an upstream that is new to the instance. Its weight rises to
    /// 1 within `warm_up`, which is zero for an upstream that is already warm.
    upstream(upstream_endpoint endpoint,
             core::time_point now,
             core::duration warm_up);

    /// Identity and address.
    upstream_endpoint const& endpoint() const
    {
        return endpoint_;
    }

    /// Recorder of the attempts, shared with the health monitor.
    boost::intrusive_ptr<health::attempt_recorder> const& recorder() const
    {
        return recorder_;
    }

    /// Number of attempts of this instance in flight.
    unsigned in_flight() const
    {
        return in_flight_.load(std::memory_order_relaxed);
    }

    /// Number of attempts in flight from this instance and, as far as reported,
    /// from other instances.
    unsigned known_in_flight() const
    {
        return in_flight() + others_in_flight_.load(std::memory_order_relaxed);
    }

    /// Sets the number of attempts that other instances have in flight, as far
    /// as reported.
    void update_remote_load(unsigned in_flight)
    {
        others_in_flight_.store(in_flight, std::memory_order_relaxed);
    }

    /// Slot utilisation as far as known, above 1 if requests are queued at the
    /// upstream. In slow start and recovery fewer slots are assumed.
    double utilisation(core::time_point now) const;

    /// Number of free slots as far as known; at least a small fraction, so that
    /// an upstream with a free slot can be drawn. In slow start and recovery
    /// fewer slots are assumed.
    double free_slots(core::time_point now) const;

    /// Increments the number of attempts in flight.
    void begin_attempt()
    {
        in_flight_.fetch_add(1, std::memory_order_relaxed);
    }

    /// Decrements the number of attempts in flight.
    void end_attempt()
    {
        in_flight_.fetch_sub(1, std::memory_order_relaxed);
    }

    /// Sets the maximum number of attempts of this instance in flight,
    /// initially the number of slots.
    void limit_concurrency(unsigned limit)
    {
        concurrency_limit_.store(limit, std::memory_order_relaxed);
    }

    /// Records that a request succeeded at `at`, as far as known. An earlier
    /// time than the last known one is ignored.
    void record_success(core::time_point at);

    /// Records that a request failed, which invalidates earlier successes.
    void record_failure();

    /// Records that an attempt of this instance was started.
    void record_start(core::time_point now);

    /// When the upstream was last known to work: at the last success, or when
    /// the last attempt was started that is still running and would have been
    /// reset by now. The minimum of the clock if neither is known.
    core::time_point last_success(core::time_point now) const;

    /// Stores the load that the upstream reported in a response header.
    void report_load(unsigned in_flight, core::time_point now);

    /// Marks the upstream as leaving. This is final: a list that still shows it
    /// as live only lags. Returns whether it was not marked before.
    bool mark_leaving()
    {
        return !leaving_.exchange(true, std::memory_order_relaxed);
    }

    /// Sends the upstream nothing before `until`, as it has asked for. An
    /// earlier time than it asked for before is ignored.
    void hold_until(core::time_point until);

    /// When the upstream accepts requests again; in the past unless it is held.
    core::time_point held_until() const
    {
        return core::time_point(
            core::duration(held_until_.load(std::memory_order_relaxed)));
    }

    /// Whether the upstream has asked this instance to send nothing now.
    bool is_held(core::time_point now) const
    {
        return now < held_until();
    }

    /// Whether the upstream was marked as leaving.
    bool is_leaving() const
    {
        return leaving_.load(std::memory_order_relaxed) &&
               !core::is_mutated(core::mutation::pick_leaving_upstream);
    }

    /// Applies a decision. An ejection turns into avoidance at `lease_expiry`
    /// unless it is renewed before.
    void publish(health::standing_decision const& decision,
                 core::time_point lease_expiry);

    /// Returns the standing at `now`.
    health::upstream_standing standing(core::time_point now) const;

    /// Claims the trial request that the last decision requires, if any.
    bool claim_trial()
    {
        return trial_due_.load(std::memory_order_relaxed) &&
               trial_due_.exchange(false, std::memory_order_relaxed);
    }

    /// Cancels the trial request that the last decision requires.
    void cancel_trial()
    {
        trial_due_.store(false, std::memory_order_relaxed);
    }

    /// Whether it may receive requests other than trials only if all upstreams
    /// are avoided.
    bool is_last_resort() const
    {
        return last_resort_.load(std::memory_order_relaxed);
    }

    /// Whether a trial request is due and no attempt is known to be in flight.
    bool is_trial_due() const
    {
        return trial_due_.load(std::memory_order_relaxed) &&
               known_in_flight() == 0;
    }

    /// Whether the upstream needs a request of any kind so that it is not left
    /// without requests, see standing_decision::coverage_due_at.
    bool is_coverage_due(core::time_point now) const;

    /// Claims the request that is_coverage_due() announces.
    bool claim_coverage(core::time_point now);

    /// When the upstream needs a request of any kind.
    core::time_point coverage_due_at() const
    {
        return core::time_point(
            core::duration(coverage_due_at_.load(std::memory_order_relaxed)));
    }

    /// When the last trial request became due.
    core::time_point trial_due_at() const
    {
        return core::time_point(
            core::duration(trial_due_at_.load(std::memory_order_relaxed)));
    }

    /// Whether it has a free slot as far as this instance knows: it is not held
    /// or recently reported as full, and the known attempts are below the
    /// number of slots, those of this instance below the concurrency limit.
    bool has_free_slot(core::time_point now) const;

    /// Fraction of its full load that it should receive, 0 to 1, from slow
    /// start and recovery.
    double weight(core::time_point now) const;

    /// Cost of one more attempt: (attempts in flight + 1) x smoothed latency,
    /// divided by the success rate. `fallback`, in seconds, replaces the
    /// latency before the first sample.
    double cost(double fallback) const;

    /// Smoothed latency in seconds; 0 before the first sample.
    double latency_seconds() const;

private:
    upstream_endpoint endpoint_;
    boost::intrusive_ptr<health::attempt_recorder> recorder_;
    /// Start and duration of slow start.
    core::time_point slow_start_began_;
    core::duration warm_up_;
    std::atomic<unsigned> in_flight_{0};
    std::atomic<unsigned> others_in_flight_{0};
    /// Maximum number of attempts in flight from this instance.
    std::atomic<unsigned> concurrency_limit_;
    /// Standing by the last decision.
    std::atomic<health::upstream_standing> standing_{
        health::upstream_standing::normal};
    /// When the lease of an ejection expires, in ticks of the clock.
    std::atomic<core::duration::rep> lease_expiry_{0};
    /// Weight of the last decision, in thousandths.
    std::atomic<unsigned> weight_{1000};
    std::atomic<bool> last_resort_{false};
    /// Whether a trial request is due.
    std::atomic<bool> trial_due_{false};
    /// When the trial request became due, in ticks of the clock.
    std::atomic<core::duration::rep> trial_due_at_{0};
    /// See coverage_due_at(), and the last claim of such a request, in ticks of
    /// the clock.
    std::atomic<core::duration::rep> coverage_due_at_{
        core::time_point::max().time_since_epoch().count()};
    std::atomic<core::duration::rep> coverage_claimed_at_{0};
    std::atomic<bool> leaving_{false};
    /// See held_until(), in ticks of the clock.
    std::atomic<core::duration::rep> held_until_{
        core::time_point::min().time_since_epoch().count()};
    /// Time of the last known success since the last failure, and start of the
    /// last attempt of this instance, in ticks of the clock.
    std::atomic<core::duration::rep> last_success_{
        core::time_point::min().time_since_epoch().count()};
    std::atomic<core::duration::rep> last_start_{
        core::time_point::min().time_since_epoch().count()};
    /// Last reported load and the time of the report, in ticks of the clock.
    std::atomic<unsigned> reported_load_{0};
    std::atomic<core::duration::rep> reported_at_{0};
};

} // namespace kumquatloom::routing

#endif
