#ifndef KUMQUATLOOM_MEMBERSHIP_SENDER_LATENESS_FILTERS_HPP
#define KUMQUATLOOM_MEMBERSHIP_SENDER_LATENESS_FILTERS_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/membership/lateness_filter.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

namespace kumquatloom::membership
{

/// Lateness filters by sender, for senders outside the cell.
class sender_lateness_filters
{
public:
    /// Maximum number of senders; the one that was silent the longest is
    /// evicted first. Only the relays of other cells and regions send from
    /// outside.
    static constexpr std::size_t max_senders = 512;

    /// Lateness of a message; nothing for the first message of an incarnation,
    /// which cannot be compared with another one.
    std::optional<core::duration> lateness(core::instance_id const& sender,
                                           core::incarnation incarnation,
                                           std::chrono::milliseconds uptime,
                                           core::time_point now);

private:
    /// State of one sender.
    struct sender_state
    {
        /// Identifies the process start.
        core::incarnation incarnation = 0;
        /// Filter of the incarnation.
        lateness_filter filter;
        /// Time of the last message.
        core::time_point last_message;
    };

    void evict_oldest_if_full();

    std::map<core::instance_id, sender_state> senders_;
};

} // namespace kumquatloom::membership

#endif
