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

/// Lateness filters of senders outside the cell.
class sender_lateness_filters
{
public:
    /// Most senders; the one that was silent longest is dropped first. Only
    /// the relays of other cells and regions send from outside.
    static constexpr std::size_t max_senders = 512;

    /// How late a message is; nothing for the first one of an incarnation,
    /// which cannot be compared with another.
    std::optional<core::duration> lateness(core::instance_id const& sender,
                                           core::incarnation incarnation,
                                           std::chrono::milliseconds uptime,
                                           core::time_point now);

private:
    /// What is known about one sender.
    struct sender_state
    {
        /// Its process start.
        core::incarnation incarnation = 0;
        /// Filter of that incarnation.
        lateness_filter filter;
        /// When a message came last.
        core::time_point last_message;
    };

    void make_room();

    /// The senders.
    std::map<core::instance_id, sender_state> senders_;
};

} // namespace kumquatloom::membership

#endif
