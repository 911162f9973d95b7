#ifndef KUMQUATLOOM_REQUEST_DEADLINE_HPP
#define KUMQUATLOOM_REQUEST_DEADLINE_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <optional>
#include <string_view>

namespace kumquatloom::request
{

/// The time at which a request or an attempt is worth nothing any more. The
/// process may be paused at any point, so left() is asked again with a new
/// reading of the clock directly before the first byte is written.
class deadline
{
public:
    /// Ends at a point in time.
    explicit deadline(core::time_point at)
        : at_(at)
    {
    }

    /// The earlier of the caller's and the route's limit, from the time at
    /// which the request was received.
    static deadline of_request(core::time_point received,
                               std::optional<std::chrono::milliseconds> header,
                               std::chrono::milliseconds route);

    /// The end of one attempt that starts now: the service's time limit, but
    /// never later than this deadline.
    deadline of_attempt(core::time_point now,
                        std::chrono::milliseconds service) const;

    /// The point in time.
    core::time_point at() const
    {
        return at_;
    }

    /// Whether the time has come.
    bool passed(core::time_point now) const
    {
        return now >= at_;
    }

    /// Time that is left, at least zero.
    core::duration remaining(core::time_point now) const;

    /// Whole milliseconds that are left, rounded down, for the header field
    /// that is sent to the upstream.
    std::chrono::milliseconds remaining_ms(core::time_point now) const;

private:
    /// The point in time.
    core::time_point at_;
};

/// Reads `Kumquatloom-Deadline-Ms`: decimal digits only.
std::optional<std::chrono::milliseconds>
parse_deadline_ms(std::string_view text);

} // namespace kumquatloom::request

#endif
