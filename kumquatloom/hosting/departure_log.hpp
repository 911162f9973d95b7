#ifndef KUMQUATLOOM_HOSTING_DEPARTURE_LOG_HPP
#define KUMQUATLOOM_HOSTING_DEPARTURE_LOG_HPP

#include <kumquatloom/hosting/departure_notice.hpp>

#include <cstddef>
#include <deque>
#include <optional>

namespace kumquatloom::hosting
{

/// Departures that this instance has learned from responses and repeats to its
/// neighbours, because datagrams may be lost. Not thread-safe.
class departure_log
{
public:
    /// Adds a departure, which the next notices contain.
    void add(departed_upstream const& departed);

    /// The next notice to send; nothing if all departures have been repeated
    /// often enough.
    std::optional<departure_notice> take_notice();

private:
    struct item
    {
        departed_upstream departed;
        /// How often it is still sent.
        unsigned remaining = 0;
    };

    std::deque<item> items_;
};

} // namespace kumquatloom::hosting

#endif
