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

/// Probes members that are silent, directly and through other members, so that
/// the cut of one path in one direction does not make a member look dead.
class probe_scheduler
{
public:
    /// An ack that was expected.
    struct confirmation
    {
        /// When the probe was sent, which is the time that the ack proves.
        core::time_point asked;
        /// Whether the ack came without another member in between.
        bool direct = false;
    };

    /// The seed makes the nonces; it should be random outside of tests.
    probe_scheduler(probe_scheduler_settings settings, std::uint64_t seed);

    /// Probes the members that are due.
    void tick(member_table const& table, core::time_point now, outbox& out);

    /// Sends one direct probe, for example to learn how fresh a member is.
    void probe(member const& target, core::time_point now, outbox& out);

    /// Probes a member for another one.
    void probe_for(peer::indirect_probe const& order,
                   peer::destination const& asker,
                   peer::destination const& target,
                   core::time_point now,
                   outbox& out);

    /// Takes in an ack: passes it on if another member asked for it, otherwise
    /// returns what it confirms. Nothing is returned for an unexpected ack.
    std::optional<confirmation> receive(peer::ack const& answer,
                                        core::instance_id const& sender,
                                        core::time_point now,
                                        outbox& out);

private:
    /// A probe without an ack so far.
    struct outstanding
    {
        /// The probed member.
        core::instance_id target;
        /// When the probe was sent.
        core::time_point asked;
        /// Who asked for it, if it was not this instance.
        std::optional<peer::destination> asker;
        /// The asker's nonce.
        std::uint64_t asker_nonce = 0;
    };

    bool due(member const& item, core::time_point now) const;
    std::optional<std::uint64_t> remember(outstanding probe);
    void probe_through_helpers(member_table const& table,
                               member const& target,
                               core::time_point now,
                               outbox& out);

    /// Times and bounds.
    probe_scheduler_settings settings_;
    /// Makes the nonces and chooses the helpers.
    std::mt19937_64 random_;
    /// Probes by nonce.
    std::map<std::uint64_t, outstanding> outstanding_;
    /// When each silent member was probed last.
    std::map<core::instance_id, core::time_point> last_probe_;
};

} // namespace kumquatloom::membership

#endif
