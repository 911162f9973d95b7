#ifndef KUMQUATLOOM_MEASURE_FAKE_UPSTREAM_HPP
#define KUMQUATLOOM_MEASURE_FAKE_UPSTREAM_HPP

#include <deque>
#include <functional>
#include <measure/attempt.hpp>
#include <measure/event_queue.hpp>
#include <measure/scenario.hpp>
#include <random>

namespace kumquatloom::measure
{

/// An upstream with slots, a bounded queue, random service times and the
/// scenario's fault. It refuses what its queue cannot hold. A request whose
/// caller gave up is dropped from the queue, but runs to its end in a slot.
class fake_upstream
{
public:
    fake_upstream(scenario const& setup,
                  unsigned number,
                  event_queue& events,
                  std::mt19937_64& random,
                  std::function<void(attempt_pointer const&)> respond);

    /// Takes an attempt that arrived over the network.
    void receive(attempt_pointer const& attempt);

    /// When attempts arrived.
    std::vector<core::time_point> const& arrivals() const
    {
        return arrivals_;
    }

private:
    /// Starts the next attempt if a slot is free.
    void work();
    /// Ends an attempt.
    void complete(attempt_pointer const& attempt);
    /// Sends the response.
    void answer(attempt_pointer const& attempt);
    /// Whether the fault is present now.
    bool is_faulty() const;
    /// A random service time, and what it does to the result.
    core::duration serve(attempt_state& attempt);
    /// How much slower a replaced upstream is while it warms up.
    double cold_slowdown() const;
    /// Whether an event of a probability happens.
    bool happens(double probability);

    /// What goes wrong, and when.
    scenario const& setup_;
    /// The number of this upstream.
    unsigned number_;
    /// The clock.
    event_queue& events_;
    /// Random numbers of the run.
    std::mt19937_64& random_;
    /// Sends a response.
    std::function<void(attempt_pointer const&)> respond_;
    /// Attempts that wait.
    std::deque<attempt_pointer> queue_;
    /// Slots in use.
    unsigned busy_ = 0;
    /// See arrivals().
    std::vector<core::time_point> arrivals_;
};

} // namespace kumquatloom::measure

#endif
