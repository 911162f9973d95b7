#ifndef KUMQUATLOOM_MEMBERSHIP_READ_SCHEDULE_HPP
#define KUMQUATLOOM_MEMBERSHIP_READ_SCHEDULE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/membership/domain_rank.hpp>
#include <kumquatloom/membership/read_schedule_settings.hpp>

#include <cstddef>
#include <optional>

namespace kumquatloom::membership
{

/// Decides when this instance reads the store for its failure domain. There is
/// no election: whoever's knowledge is too old for its rank reads and tells
/// the others, whose knowledge is then fresh. If the reader dies or is refused
/// by the store, the next in rank reads a moment later.
class read_schedule
{
public:
    /// Starts without any knowledge.
    explicit read_schedule(read_schedule_settings const& settings);

    /// The store was read, here or by a neighbour, at this time.
    void know(core::time_point as_of);

    /// A read of this instance ended.
    void succeeded(core::time_point now);
    void failed(core::time_point now);

    /// Whether this instance should read now.
    bool due(domain_rank const& place, core::time_point now) const;

    /// When the store was read last; nothing before the first time.
    std::optional<core::time_point> as_of() const
    {
        return as_of_;
    }

    /// Whether the last read of this instance failed.
    bool is_failing() const
    {
        return failures_ != 0;
    }

    /// When reads of this instance began to fail.
    core::time_point failing_since() const
    {
        return failing_since_;
    }

private:
    core::duration pause(domain_rank const& place) const;
    core::duration age_for(std::size_t rank, std::size_t instances) const;

    /// Times.
    read_schedule_settings settings_;
    /// When the store was read last.
    std::optional<core::time_point> as_of_;
    /// Failed reads in a row, and the times of the first and the last.
    unsigned failures_ = 0;
    core::time_point failing_since_;
    core::time_point last_failure_;
};

} // namespace kumquatloom::membership

#endif
