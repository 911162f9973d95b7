#ifndef KUMQUATLOOM_ENTRY_IN_FLIGHT_SCOPE_HPP
#define KUMQUATLOOM_ENTRY_IN_FLIGHT_SCOPE_HPP

#include <kumquatloom/entry/instance_state.hpp>

namespace kumquatloom::entry
{

/// Counts a request as received, and as in flight while in scope.
class in_flight_scope
{
public:
    explicit in_flight_scope(instance_state& state)
        : state_(state)
    {
        state_.events.increment(entry_event::request_received);
        state_.requests_in_flight.fetch_add(1);
    }

    ~in_flight_scope()
    {
        state_.requests_in_flight.fetch_sub(1);
    }

    in_flight_scope(in_flight_scope const&) = delete;
    in_flight_scope& operator=(in_flight_scope const&) = delete;

private:
    /// Holds the counter.
    instance_state& state_;
};

} // namespace kumquatloom::entry

#endif
