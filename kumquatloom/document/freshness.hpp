#ifndef KUMQUATLOOM_DOCUMENT_FRESHNESS_HPP
#define KUMQUATLOOM_DOCUMENT_FRESHNESS_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace kumquatloom::document
{

/// Tracks the time as of which an instance knows everything that the log held.
/// Only points of its own clock are compared, and a late message can only make
/// that time older.
class freshness
{
public:
    /// A read that was sent at `sent` told that the log held all records
    /// before `next`.
    void heard_from_log(core::time_point sent, core::log_offset next);

    /// A peer that had reduced all records before `next` answered a question
    /// that was sent at `sent` with its own age of freshness.
    void heard_from_peer(core::time_point sent,
                         core::duration age,
                         core::log_offset next);

    /// This instance has reduced all records before `next`.
    void reduced(core::log_offset next);

    /// The time as of which the instance is fresh, if it ever was.
    std::optional<core::time_point> as_of() const
    {
        return as_of_;
    }

    /// How old the freshness is; what a peer is told.
    std::optional<core::duration> age(core::time_point now) const;

    /// Whether the freshness is younger than the lease.
    bool is_within(core::duration lease, core::time_point now) const;

private:
    /// What was heard, but is not known yet.
    struct claim
    {
        /// Time as of which it holds.
        core::time_point as_of;
        /// Records before this one are needed for it.
        core::log_offset next = 0;
    };

    /// Claims that wait for records. More are dropped, which can only make
    /// the instance less fresh.
    static constexpr std::size_t max_claims = 16;

    void add(claim const& item);

    /// The time as of which the instance is fresh.
    std::optional<core::time_point> as_of_;
    /// Records before this one are reduced.
    core::log_offset next_ = 0;
    /// Claims that wait for records.
    std::vector<claim> claims_;
};

} // namespace kumquatloom::document

#endif
