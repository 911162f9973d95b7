#ifndef KUMQUATLOOM_LIMITS_ROUND_CLOCK_HPP
#define KUMQUATLOOM_LIMITS_ROUND_CLOCK_HPP

#include <kumquatloom/limits/connection_turn.hpp>

#include <algorithm>
#include <cstddef>

namespace kumquatloom::limits
{

/// Rounds of a queue: requests that are not pipelined belong to the present
/// one, pipelined ones of a connection to consecutive later ones. A round ends
/// when as many ordinary requests were served as waited at its beginning.
class round_clock
{
public:
    /// The turn of the next request, zero if it isn't pipelined. `connection`
    /// is that of a pipelined request and null otherwise.
    turn_number next(connection_turn const* connection) const
    {
        if (connection == nullptr)
            return 0;
        auto const earliest = connection->queue == this ? connection->next : 0;
        return std::clamp(earliest, present_ + 1, present_ + max_lead);
    }

    /// As next(), and takes the turn.
    turn_number assign(connection_turn* connection)
    {
        auto const turn = next(connection);
        if (connection != nullptr)
            *connection = {this, turn + 1};
        latest_ = std::max(latest_, turn);
        return turn;
    }

    /// The round to which a queued request with this turn belongs now.
    turn_number round_of(turn_number turn) const
    {
        return std::max(turn, present_);
    }

    /// A request with this turn is served while `ordinary` others wait that are
    /// not pipelined.
    void serve(turn_number turn, std::size_t ordinary)
    {
        if (turn > present_)
            begin(turn, ordinary);
        else if (turn == 0 && --left_ == 0)
            begin(present_ + 1, ordinary);
    }

    /// The queue is empty: the turns that were assigned no longer count.
    void restart()
    {
        begin(std::max(present_, latest_), 0);
    }

private:
    /// Bounds how long a connection yields to others, as in turn_clock.
    static constexpr turn_number max_lead = 64;

    void begin(turn_number round, std::size_t ordinary)
    {
        present_ = round;
        left_ = std::max<std::size_t>(ordinary, 1);
    }

    turn_number present_ = 0;
    /// The highest turn that was assigned.
    turn_number latest_ = 0;
    /// Ordinary requests that are served before the next round.
    std::size_t left_ = 1;
};

} // namespace kumquatloom::limits

#endif
