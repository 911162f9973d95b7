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

/// A simulated upstream with slots, a bounded queue, random service times and
/// the scenario's fault. It refuses requests when its queue is full. After the
/// caller's timeout a queued request is dropped, but a running one runs to its
/// end.
class fake_upstream
{
public:
    fake_upstream(scenario const& setup,
                  unsigned number,
                  event_queue& events,
                  std::mt19937_64& random,
                  std::function<void(attempt_pointer const&)> respond);

    /// Receives an attempt from the network.
    void receive(attempt_pointer const& attempt);

    /// Arrival times of all attempts.
    std::vector<core::time_point> const& arrivals() const
    {
        return arrivals_;
    }

private:
    /// Starts queued attempts while slots are free.
    void start_queued();
    /// Completes an attempt and frees its slot.
    void complete(attempt_pointer const& attempt);
    /// Sends the response with the load headers.
    void send_response(attempt_pointer const& attempt);
    /// Whether the fault affects this upstream now.
    bool is_faulty() const;
    /// Draws a service time; a fault may also change the attempt's result.
    core::duration draw_service_time(simulated_attempt& attempt);
    /// Service time factor of the replacement of an upstream while it warms up.
    double cold_slowdown() const;
    /// Draws whether an event with this probability happens.
    bool happens(double probability);

    /// Parameters of the run.
    scenario const& scenario_;
    /// Number of this upstream.
    unsigned number_;
    /// The scheduled events and the simulated clock.
    event_queue& events_;
    /// Random number generator of the run.
    std::mt19937_64& random_;
    /// Sends a response to the entry instance.
    std::function<void(attempt_pointer const&)> respond_;
    /// Attempts that wait for a slot.
    std::deque<attempt_pointer> queue_;
    /// Slots in use.
    unsigned busy_ = 0;
    /// See arrivals().
    std::vector<core::time_point> arrivals_;
};

} // namespace kumquatloom::measure

#endif
