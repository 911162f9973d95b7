#ifndef KUMQUATLOOM_DOCUMENT_FRESHNESS_HPP
#define KUMQUATLOOM_DOCUMENT_FRESHNESS_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace kumquatloom::document
{

/// Tracks the time as of which an instance has reduced all records of the log.
/// Only times of the local clock are compared, and a delayed message can only
/// make the state less fresh.
class freshness
{
public:
    /// Records the response to a log read that was sent at `sent`: the log
    /// contained all records before `next`.
    void record_log_read(core::time_point sent, core::log_offset next);

    /// Records a peer's response to a request that was sent at `sent`: the peer
    /// had reduced all records before `next`, with a freshness of this age.
    void record_peer_response(core::time_point sent,
                              core::duration age,
                              core::log_offset next);

    /// Records that this instance has reduced all records before `next`.
    void update_reduced(core::log_offset next);

    /// The time as of which the state is fresh, if it ever was.
    std::optional<core::time_point> as_of() const
    {
        return as_of_;
    }

    /// The age of the freshness, as sent to peers.
    std::optional<core::duration> age(core::time_point now) const;

    /// Whether the freshness is younger than the lease.
    bool is_younger_than(core::duration lease, core::time_point now) const;

private:
    /// Confirms the freshness as soon as the records before `next` are reduced.
    struct confirmation
    {
        /// Time as of which the state is fresh.
        core::time_point as_of;
        /// Offset after the last record that must be reduced.
        core::log_offset next = 0;
    };

    /// Maximum number of pending confirmations. Beyond it, the oldest is
    /// dropped, which can only make the state less fresh.
    static constexpr std::size_t max_pending = 16;

    void add(confirmation const& item);

    /// The time as of which the state is fresh.
    std::optional<core::time_point> as_of_;
    /// Offset after the last reduced record.
    core::log_offset next_ = 0;
    /// Confirmations whose records are not reduced yet.
    std::vector<confirmation> pending_;
};

} // namespace kumquatloom::document

#endif
