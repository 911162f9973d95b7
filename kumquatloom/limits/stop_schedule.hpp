#ifndef KUMQUATLOOM_LIMITS_STOP_SCHEDULE_HPP
#define KUMQUATLOOM_LIMITS_STOP_SCHEDULE_HPP

#include <kumquatloom/core/clock.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>

namespace kumquatloom::limits
{

/// The course of a planned stop: which requests are still accepted, by when the
/// requests in progress get their final responses, and when the process exits.
class stop_schedule : public boost::intrusive_ref_counter<stop_schedule>
{
public:
    /// `grace` is the time from the stop signal at `begin` until the platform
    /// kills the process.
    stop_schedule(core::time_point begin, std::chrono::milliseconds grace);

    /// When requests that are still in progress are answered without waiting
    /// for their upstreams.
    core::time_point answer_by() const
    {
        return answer_by_;
    }

    /// When the process exits, even with requests in progress.
    core::time_point exit_at() const
    {
        return exit_at_;
    }

    /// Whether a request that is complete now is accepted. `expected` is the
    /// estimated time to its response, zero if there is no estimate;
    /// `deadline` is when it ends at the latest.
    bool accepts(core::time_point now,
                 core::duration expected,
                 core::time_point deadline) const;

    /// Whether a request that takes `expected` from now on, zero if there is no
    /// estimate, can be expected to be answered in time.
    bool has_time(core::time_point now, core::duration expected) const;

private:
    core::time_point estimates_until_;
    core::time_point answer_by_;
    core::time_point exit_at_;
};

} // namespace kumquatloom::limits

#endif
