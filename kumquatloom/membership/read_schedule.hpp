#ifndef KUMQUATLOOM_MEMBERSHIP_READ_SCHEDULE_HPP
#define KUMQUATLOOM_MEMBERSHIP_READ_SCHEDULE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/membership/domain_rank.hpp>
#include <kumquatloom/membership/read_schedule_settings.hpp>

#include <cstddef>
#include <optional>

namespace kumquatloom::membership
{

/// Decides when this instance reads the store for its failure domain. Instead
/// of an election, an instance reads as soon as the age of its data reaches a
/// limit that grows with its rank, and then informs the others, whose data
/// becomes fresh as well. If the reader dies or the store refuses it, the next
/// in rank reads shortly afterwards.
class read_schedule
{
public:
    /// Starts without any data, so that a read is due.
    explicit read_schedule(read_schedule_settings const& settings);

    /// Records that this instance or a neighbour read the store at `as_of`.
    void record_read(core::time_point as_of);

    /// Records the end of a read by this instance.
    void succeeded(core::time_point now);
    void failed(core::time_point now);

    /// Whether an instance with this rank should read now.
    bool is_due(domain_rank const& own_rank, core::time_point now) const;

    /// Time of the last read; nothing before the first one.
    std::optional<core::time_point> as_of() const
    {
        return as_of_;
    }

    /// Whether the last read by this instance failed.
    bool is_failing() const
    {
        return failures_ != 0;
    }

    /// Time since which reads by this instance have failed.
    core::time_point failing_since() const
    {
        return failing_since_;
    }

private:
    core::duration retry_delay(domain_rank const& own_rank) const;
    core::duration read_age(std::size_t rank, std::size_t instances) const;

    read_schedule_settings settings_;
    /// Time of the last read by any instance.
    std::optional<core::time_point> as_of_;
    /// Number of consecutive failed reads, and the times of the first and the
    /// last one.
    unsigned failures_ = 0;
    core::time_point failing_since_;
    core::time_point last_failure_;
};

} // namespace kumquatloom::membership

#endif
