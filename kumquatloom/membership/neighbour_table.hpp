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

/// What a heartbeat says about its sender.
struct heard_heartbeat
{
    /// Its IP number.
    std::string host;
    /// Distinguishes its process starts.
    core::incarnation incarnation = 0;
    /// Rises with each heartbeat of the incarnation.
    std::uint32_t sequence = 0;
    /// Whether it serves callers.
    bool ready = false;
    /// Whether it is shutting down.
    bool leaving = false;
};

/// The instances of the own failure domain. Belongs to one thread.
class neighbour_table
{
public:
    /// Starts with this instance alone.
    neighbour_table(neighbour_settings const& settings,
                    std::string own_host,
                    core::incarnation own_incarnation);

    /// Adds an address at which an instance may be. Returns whether it is new.
    bool learn(std::string const& host, core::time_point now);

    /// Takes over a heartbeat; false if it is older than one that is known. A
    /// smaller incarnation replaces a neighbour that has fallen silent.
    bool hear(heard_heartbeat const& message, core::time_point now);

    /// Forgets what was silent for too long.
    void expire(core::time_point now);

    /// Whether an address is that of a neighbour.
    bool knows(std::string const& host) const
    {
        return neighbours_.contains(host);
    }

    /// Every address that gets heartbeats.
    std::vector<std::string> addresses() const;

    /// Neighbours that were heard lately.
    std::vector<neighbour> live(core::time_point now) const;

    /// Addresses to hand out to callers: those that are live, ready and not
    /// leaving; without this instance.
    std::vector<std::string> serving(core::time_point now) const;

    /// Place of this instance among the live ones that are not leaving, by age:
    /// who is older has the smaller rank. It is the same order everywhere.
    domain_rank place(core::time_point now) const;

private:
    /// Times.
    neighbour_settings settings_;
    /// This instance.
    std::string own_host_;
    core::incarnation own_incarnation_;
    /// The others by IP number.
    std::map<std::string, neighbour> neighbours_;
};

} // namespace kumquatloom::membership

#endif
