#ifndef KUMQUATLOOM_MEMBERSHIP_PROBE_SCHEDULER_HPP
#define KUMQUATLOOM_MEMBERSHIP_PROBE_SCHEDULER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/membership/member_table.hpp>
#include <kumquatloom/membership/outbox.hpp>
#include <kumquatloom/membership/probe_scheduler_settings.hpp>
#include <kumquatloom/peer/ack.hpp>
#include <kumquatloom/peer/destination.hpp>
#include <kumquatloom/peer/indirect_probe.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace kumquatloom::membership
{

/// Probes silent members directly and through other members, so that the loss
/// of one path in one direction does not make a member appear dead. Not
/// thread-safe.
class probe_scheduler
{
public:
    /// An ack to a probe of this instance.
    struct confirmation
    {
        /// Send time of the probe. The ack proves that the member was alive
        /// then.
        core::time_point sent_at;
        /// Whether the ack came directly from the probed member.
        bool direct = false;
    };

    /// `seed` initializes the random generator; should be random outside of
    /// tests.
    probe_scheduler(probe_scheduler_settings settings, std::uint64_t seed);

    /// Probes the members for which a probe is due.
    void tick(member_table const& table, core::time_point now, outbox& out);

    /// Sends one direct probe, for example to query a member's freshness.
    void probe(member const& target, core::time_point now, outbox& out);

    /// Probes a member on behalf of another one.
    void probe_for(peer::indirect_probe const& request,
                   peer::destination const& requester,
                   peer::destination const& target,
                   core::time_point now,
                   outbox& out);

    /// Processes an ack. Forwards it if another member requested the probe,
    /// otherwise returns what it confirms. Returns nothing for an unexpected
    /// ack.
    std::optional<confirmation> receive(peer::ack const& ack,
                                        core::instance_id const& sender,
                                        core::time_point now,
                                        outbox& out);

private:
    /// A probe without an ack yet.
    struct outstanding_probe
    {
        core::instance_id target;
        core::time_point sent_at;
        /// The member that requested the probe, if it was not this instance.
        std::optional<peer::destination> requester;
        /// Nonce of that request.
        std::uint64_t requester_nonce = 0;
    };

    bool is_due(member const& item, core::time_point now) const;
    std::optional<std::uint64_t> add_outstanding(outstanding_probe item);
    void probe_through_helpers(member_table const& table,
                               member const& target,
                               core::time_point now,
                               outbox& out);

    probe_scheduler_settings settings_;
    /// Generates nonces and selects helpers.
    std::mt19937_64 random_;
    /// Probes without an ack yet, by nonce.
    std::map<std::uint64_t, outstanding_probe> outstanding_;
    /// Time at which tick() last probed each member.
    std::map<core::instance_id, core::time_point> last_probe_;
};

} // namespace kumquatloom::membership

#endif
