#ifndef KUMQUATLOOM_LIMITS_TRANSFER_PROGRESS_HPP
#define KUMQUATLOOM_LIMITS_TRANSFER_PROGRESS_HPP

#include <kumquatloom/core/clock.hpp>

#include <cstddef>

namespace kumquatloom::limits
{

/// Requires a minimum rate of a transfer: `step_bytes` in each `step_time`. A
/// total time limit would either cut large messages off or let stalled small
/// ones wait.
class transfer_progress
{
public:
    /// A transfer that begins now.
    transfer_progress(std::size_t step_bytes,
                      core::duration step_time,
                      core::time_point now)
        : step_bytes_(step_bytes)
        , step_time_(step_time)
        , step_began_(now)
    {
    }

    /// Records the total number of bytes transferred so far.
    void record(std::size_t total_bytes, core::time_point now)
    {
        if (total_bytes < step_start_ + step_bytes_)
            return;
        step_start_ = total_bytes;
        step_began_ = now;
    }

    /// When the transfer has failed unless it ends or progresses before.
    core::time_point deadline() const
    {
        return step_began_ + step_time_;
    }

    /// When the transfer last made the required progress.
    core::time_point progressed_at() const
    {
        return step_began_;
    }

private:
    /// Bytes required in each step, and its time limit.
    std::size_t const step_bytes_;
    core::duration const step_time_;
    /// Total at the start of the current step, and when it began.
    std::size_t step_start_ = 0;
    core::time_point step_began_;
};

} // namespace kumquatloom::limits

#endif
