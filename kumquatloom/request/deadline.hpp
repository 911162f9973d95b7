#ifndef KUMQUATLOOM_REQUEST_DEADLINE_HPP
#define KUMQUATLOOM_REQUEST_DEADLINE_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <optional>
#include <string_view>

namespace kumquatloom::request
{

/// The time after which the result of a request or an attempt is useless. The
/// process may be paused at any point, so the deadline must be checked with a
/// new reading of the clock directly before the first byte is written.
class deadline
{
public:
    explicit deadline(core::time_point at)
        : at_(at)
    {
    }

    /// Deadline of a request: the shorter of the caller's time limit in the
    /// header and the route's time limit, from when the request was received.
    static deadline of_request(core::time_point received,
                               std::optional<std::chrono::milliseconds> header,
                               std::chrono::milliseconds route);

    /// Deadline of an attempt that starts now: the service's time limit, but
    /// never later than the request's deadline.
    deadline of_attempt(core::time_point now,
                        std::chrono::milliseconds service) const;

    core::time_point at() const
    {
        return at_;
    }

    bool passed(core::time_point now) const
    {
        return now >= at_;
    }

    /// Time until the deadline; zero once it has passed.
    core::duration remaining(core::time_point now) const;

    /// Time until the deadline in whole milliseconds, rounded down. Sent to the
    /// upstream in the deadline header field.
    std::chrono::milliseconds remaining_ms(core::time_point now) const;

private:
    core::time_point at_;
};

/// Parses the value of `Kumquatloom-Deadline-Ms`: decimal digits only.
std::optional<std::chrono::milliseconds>
parse_deadline_ms(std::string_view text);

} // namespace kumquatloom::request

#endif
