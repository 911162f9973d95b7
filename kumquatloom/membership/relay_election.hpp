#ifndef KUMQUATLOOM_MEMBERSHIP_RELAY_ELECTION_HPP
#define KUMQUATLOOM_MEMBERSHIP_RELAY_ELECTION_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/membership/member_table.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace kumquatloom::membership
{

/// Elects the member of a cell that exchanges digests with other cells and
/// regions.
class relay_election
{
public:
    /// Silence of the relay after which the next member takes over.
    static constexpr std::chrono::milliseconds takeover{1000};

    /// `self` is the instance that evaluates the election.
    relay_election(core::instance_id self, core::region const& region);

    /// The elected relay; nothing if this instance is leaving and no other
    /// member is live.
    std::optional<core::instance_id> relay(member_table const& table,
                                           bool self_leaving,
                                           core::time_point now) const;

private:
    core::instance_id self_;
    /// Key of the rendezvous hash.
    std::string role_;
};

} // namespace kumquatloom::membership

#endif
