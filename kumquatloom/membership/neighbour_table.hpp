#ifndef KUMQUATLOOM_MEMBERSHIP_NEIGHBOUR_TABLE_HPP
#define KUMQUATLOOM_MEMBERSHIP_NEIGHBOUR_TABLE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/membership/domain_rank.hpp>
#include <kumquatloom/membership/neighbour.hpp>
#include <kumquatloom/membership/neighbour_settings.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace kumquatloom::membership
{

/// Contents of a received heartbeat.
struct received_heartbeat
{
    /// IP address of the sender.
    std::string host;
    /// Identifies the process start of the sender.
    core::incarnation incarnation = 0;
    /// Increases with each heartbeat of the incarnation.
    std::uint32_t sequence = 0;
    /// Whether the sender serves callers.
    bool ready = false;
    /// Whether the sender is shutting down.
    bool leaving = false;
};

/// The other instances of the own failure domain. Not thread-safe.
class neighbour_table
{
public:
    /// Starts without neighbours.
    neighbour_table(neighbour_settings const& settings,
                    std::string own_host,
                    core::incarnation own_incarnation);

    /// Adds the address of a possible neighbour. Returns whether it is new.
    bool add_address(std::string const& host, core::time_point now);

    /// Records a heartbeat; returns false if it is outdated. A lower
    /// incarnation is accepted once the neighbour has been silent for the
    /// suspicion time.
    bool record_heartbeat(received_heartbeat const& message,
                          core::time_point now);

    /// Removes neighbours that were silent for too long.
    void expire(core::time_point now);

    /// Whether an address belongs to a neighbour.
    bool contains(std::string const& host) const
    {
        return neighbours_.contains(host);
    }

    /// Addresses of all neighbours, including silent ones.
    std::vector<std::string> addresses() const;

    /// Neighbours with a recent heartbeat.
    std::vector<neighbour> live(core::time_point now) const;

    /// Addresses to list for callers: neighbours that are live, ready and not
    /// leaving, without this instance.
    std::vector<std::string> serving(core::time_point now) const;

    /// Rank of this instance among the live instances that are not leaving,
    /// from the oldest to the youngest process. All instances compute the same
    /// order.
    domain_rank own_rank(core::time_point now) const;

    /// Rank of this instance in the order of addresses, which instances that
    /// start together know before they have heard from each other. Those that
    /// were not heard from count if `counts_silent`.
    domain_rank start_rank(bool counts_silent, core::time_point now) const;

private:
    neighbour_settings settings_;
    std::string own_host_;
    core::incarnation own_incarnation_;
    /// Neighbours by IP address.
    std::map<std::string, neighbour> neighbours_;
};

} // namespace kumquatloom::membership

#endif
