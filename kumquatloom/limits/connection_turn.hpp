#ifndef KUMQUATLOOM_LIMITS_CONNECTION_TURN_HPP
#define KUMQUATLOOM_LIMITS_CONNECTION_TURN_HPP

#include <algorithm>
#include <cstdint>

namespace kumquatloom::limits
{

/// Position of a queued request among those of other connections: requests with
/// a lower turn are served first.
using turn_number = std::uint64_t;

/// The next turn of one connection in the queue that it used last.
struct connection_turn
{
    /// Identifies the queue.
    void const* queue = nullptr;
    turn_number next = 0;
};

/// Assigns turns to the requests of one queue, as in start-time fair queueing:
/// pipelined requests of a connection get consecutive turns, behind those of
/// the present round that are not pipelined and keep the order of arrival.
class turn_clock
{
public:
    /// The turn of the next request. `connection` is that of a pipelined
    /// request and null otherwise.
    turn_number next(connection_turn const* connection) const
    {
        if (connection == nullptr)
            return present_ + 1;
        auto const earliest = connection->queue == this ? connection->next : 0;
        // The bound limits how long a connection yields to others.
        return std::clamp(earliest, present_ + 2, present_ + max_lead);
    }

    /// As next(), and takes the turn. A request that is rejected uses its turn
    /// too, so that a connection does not gain by trying often.
    turn_number assign(connection_turn* connection)
    {
        auto const turn = next(connection);
        if (connection != nullptr)
            *connection = {this, turn + 1};
        latest_ = std::max(latest_, turn);
        return turn;
    }

    /// A request with this turn is served.
    void serve(turn_number turn)
    {
        present_ = std::max(present_, turn);
    }

    /// The queue is empty: the turns that were assigned no longer count.
    void restart()
    {
        present_ = latest_;
    }

private:
    static constexpr turn_number max_lead = 64;

    /// The turn that was served last.
    turn_number present_ = 0;
    /// The highest turn that was assigned.
    turn_number latest_ = 0;
};

} // namespace kumquatloom::limits

#endif
