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

/// Decides which member of a cell exchanges digests with other cells and
/// regions.
class relay_election
{
public:
    /// Silence after which the next member takes over.
    static constexpr std::chrono::milliseconds takeover{1000};

    /// Decides for the instance `self` in a region.
    relay_election(core::instance_id self, core::region const& region);

    /// The relay; nothing if this instance is leaving and hears nobody.
    std::optional<core::instance_id> relay(member_table const& table,
                                           bool self_leaving,
                                           core::time_point now) const;

private:
    /// This instance.
    core::instance_id self_;
    /// Key of the rendezvous hash.
    std::string role_;
};

} // namespace kumquatloom::membership

#endif
