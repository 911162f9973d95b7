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

/// One upstream as an instance uses it. The request path reads and changes it
/// by relaxed atomics; it outlives the table that names it while attempts are
/// in flight.
class upstream : public boost::intrusive_ref_counter<upstream>
{
public:
    /// An upstream that is new to the instance. Its share rises to the full
    /// one within `warm_up`; zero for one that is warm.
    upstream(upstream_endpoint endpoint,
             core::time_point now,
             core::duration warm_up);

    /// Where it is.
    upstream_endpoint const& endpoint() const
    {
        return endpoint_;
    }

    /// Where attempts are recorded; shared with the health monitor.
    boost::intrusive_ptr<health::attempt_recorder> const& recorder() const
    {
        return recorder_;
    }

    /// Attempts of this instance that are in flight.
    unsigned in_flight() const
    {
        return in_flight_.load(std::memory_order_relaxed);
    }

    /// Attempts of this instance and, as far as they have told, of its
    /// neighbours.
    unsigned known_in_flight() const
    {
        return in_flight() +
               neighbours_in_flight_.load(std::memory_order_relaxed);
    }

    /// Stores what the neighbours have in flight.
    void update_neighbour_load(unsigned in_flight)
    {
        neighbours_in_flight_.store(in_flight, std::memory_order_relaxed);
    }

    /// Part of its slots that is known to be in use, above 1 if requests wait
    /// there. A cold upstream has fewer slots.
    double use(core::time_point now) const;

    /// Counts an attempt that starts.
    void begin_attempt()
    {
        in_flight_.fetch_add(1, std::memory_order_relaxed);
    }

    /// Counts an attempt that ended.
    void end_attempt()
    {
        in_flight_.fetch_sub(1, std::memory_order_relaxed);
    }

    /// Changes how many attempts of this instance may be in flight at a time.
    /// It is the upstream's number of slots until then.
    void limit_concurrency(unsigned limit)
    {
        concurrency_limit_.store(limit, std::memory_order_relaxed);
    }

    /// Stores the load that a response header reported.
    void report_load(unsigned in_flight, core::time_point now);

    /// Marks the upstream as leaving. There is no way back: a list that still
    /// says "live" only lags.
    void mark_leaving()
    {
        leaving_.store(true, std::memory_order_relaxed);
    }

    /// Whether any notice said that it is leaving.
    bool is_leaving() const
    {
        return leaving_.load(std::memory_order_relaxed) &&
               !core::is_mutated(core::mutation::pick_leaving_upstream);
    }

    /// Takes over a decision. An ejection turns into avoidance at
    /// `lease_expiry` unless it is renewed before.
    void publish(health::standing_decision const& decision,
                 core::time_point lease_expiry);

    /// The standing at `now`.
    health::upstream_standing standing(core::time_point now) const;

    /// Claims the trial request that the last decision asked for, if any.
    bool claim_trial()
    {
        return trial_.load(std::memory_order_relaxed) &&
               trial_.exchange(false, std::memory_order_relaxed);
    }

    /// No longer asks for a trial request.
    void cancel_trial()
    {
        trial_.store(false, std::memory_order_relaxed);
    }

    /// Whether it is so surely sick that it is no reserve of capacity.
    bool is_last_resort() const
    {
        return last_resort_.load(std::memory_order_relaxed);
    }

    /// Whether a trial request is asked for and none is known to be running.
    bool wants_trial() const
    {
        return trial_.load(std::memory_order_relaxed) && known_in_flight() == 0;
    }

    /// Whether it has a free slot in this instance's view: neither the own
    /// limit nor a fresh report of the upstream says otherwise.
    bool has_free_slot(core::time_point now) const;

    /// Share of its usual work that it should get, 0 to 1, from slow start
    /// and recovery.
    double weight(core::time_point now) const;

    /// Cost of one more attempt: (in flight + 1) x smoothed latency, raised
    /// by failures. `fallback` stands for the latency before the first sample.
    double cost(double fallback) const;

    /// Smoothed latency in seconds; 0 before the first sample.
    double latency_seconds() const;

private:
    /// Where it is.
    upstream_endpoint endpoint_;
    /// Where attempts are recorded.
    boost::intrusive_ptr<health::attempt_recorder> recorder_;
    /// When slow start began, and how long it takes.
    core::time_point slow_start_;
    core::duration warm_up_;
    /// Attempts in flight from this instance.
    std::atomic<unsigned> in_flight_{0};
    /// Attempts in flight from the neighbours.
    std::atomic<unsigned> neighbours_in_flight_{0};
    /// Most attempts in flight from this instance.
    std::atomic<unsigned> concurrency_limit_;
    /// Last decision about it.
    std::atomic<health::upstream_standing> standing_{
        health::upstream_standing::normal};
    /// Until when an ejection is honoured, in ticks of the clock.
    std::atomic<core::duration::rep> lease_expiry_{0};
    /// Weight of the last decision, in thousandths.
    std::atomic<unsigned> weight_{1000};
    /// Whether it is no reserve of capacity.
    std::atomic<bool> last_resort_{false};
    /// Whether a trial request is asked for.
    std::atomic<bool> trial_{false};
    /// Whether it is leaving.
    std::atomic<bool> leaving_{false};
    /// Load that it reported last, and when, in ticks of the clock.
    std::atomic<unsigned> reported_load_{0};
    std::atomic<core::duration::rep> reported_at_{0};
};

} // namespace kumquatloom::routing

#endif
