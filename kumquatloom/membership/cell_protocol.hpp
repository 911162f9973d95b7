#ifndef KUMQUATLOOM_MEMBERSHIP_CELL_PROTOCOL_HPP
#define KUMQUATLOOM_MEMBERSHIP_CELL_PROTOCOL_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/membership/cell_map.hpp>
#include <kumquatloom/membership/cell_protocol_settings.hpp>
#include <kumquatloom/membership/freshness_tracker.hpp>
#include <kumquatloom/membership/known_instance.hpp>
#include <kumquatloom/membership/listed_instance.hpp>
#include <kumquatloom/membership/local_identity.hpp>
#include <kumquatloom/membership/local_state.hpp>
#include <kumquatloom/membership/member_table.hpp>
#include <kumquatloom/membership/outbox.hpp>
#include <kumquatloom/membership/probe_scheduler.hpp>
#include <kumquatloom/membership/reader_election.hpp>
#include <kumquatloom/membership/record_replicator.hpp>
#include <kumquatloom/membership/region_digest_table.hpp>
#include <kumquatloom/membership/relay_election.hpp>
#include <kumquatloom/membership/sender_lateness_filters.hpp>
#include <kumquatloom/peer/frame.hpp>
#include <kumquatloom/peer/sync_response.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquatloom::membership
{

/// Where new records came from.
enum class record_origin : std::uint8_t
{
    /// This instance read them from the log.
    log,
    /// A peer of another cell or region sent them.
    outside_peer,
    /// A member of the cell sent them.
    cell_member,
    count
};

/// Runs the membership of one instance: heartbeats, probes, roles, digests and
/// the spread of records. It performs no I/O and is not thread-safe: the owner
/// passes in received frames and the time, and sends what is in the outbox.
class cell_protocol
{
public:
    /// How many live members hold an offset.
    struct holders
    {
        /// Live members of the cell, without this instance.
        std::size_t live = 0;
        /// Those of them that are known to hold the offset.
        std::size_t holding = 0;
    };

    /// Starts at `now`, which is the zero of the uptime.
    cell_protocol(cell_protocol_settings settings,
                  local_identity identity,
                  core::time_point now);

    /// Does what is due; called about every 100 ms.
    void tick(core::time_point now, outbox& out);

    /// Takes in a frame. Kinds that belong to other packages are ignored.
    void receive(peer::frame const& received,
                 settings::endpoint const& source,
                 core::time_point now,
                 outbox& out);

    /// Takes in the platform's list of entry instances of all regions.
    void apply_list(std::vector<listed_instance> list, core::time_point now);

    /// The replicated state changed without new records, or readiness did.
    void update_state(local_state const& state);

    /// New records were reduced; pushes them if this is the one to do it.
    void records_applied(local_state const& state,
                         record_origin origin,
                         outbox& out);

    /// A read of the log, sent at `sent`, was reduced to its end.
    void log_read(core::time_point sent);

    /// The log cannot be read, so another member should take over. Without
    /// this call the same follows from the absence of log_read().
    void log_failed(core::time_point now);

    /// A sync response came. Its freshness counts once the records are
    /// reduced; false if nobody asked for it, as with a push.
    bool sync_answered(peer::sync_response const& response);

    /// A sync request failed.
    void sync_failed(std::uint64_t nonce);

    /// Tells everybody that this instance is leaving; final.
    void begin_leaving(core::time_point now, outbox& out);

    /// Continues as another incarnation.
    void adopt_incarnation(core::incarnation incarnation);

    /// A higher incarnation of the own id that some peer knows of. The owner
    /// then adopts that number plus one.
    std::optional<core::incarnation> higher_incarnation() const
    {
        return higher_incarnation_;
    }

    /// Whether this instance must read the log.
    bool reader() const
    {
        return reader_;
    }

    /// Whether this instance exchanges digests with other cells and regions.
    bool relay() const
    {
        return relay_;
    }

    /// Whether this instance said that it is leaving.
    bool leaving() const
    {
        return leaving_;
    }

    /// Age of the own freshness, or freshness_tracker::never.
    std::chrono::milliseconds freshness_age(core::time_point now) const;

    /// Whether the own state is younger than the freshness lease.
    bool fresh(core::time_point now) const;

    /// The members of the cell.
    member_table const& table() const
    {
        return table_;
    }

    /// The members of other cells and regions.
    region_digest_table const& digests() const
    {
        return digests_;
    }

    /// Cells of the own region.
    cell_map const& cells() const
    {
        return cells_;
    }

    /// Number of the own cell.
    cell_map::cell_index own_cell() const;

    /// Live members and how many of them hold an offset.
    holders holders_of(core::log_offset offset) const;

    /// Every instance of the fleet that was heard of, including this one.
    std::vector<known_instance> known_instances(core::time_point now) const;

    /// Number of times that this process was found to have been paused.
    std::uint64_t pauses() const
    {
        return pauses_;
    }

    /// Number of peers' states seen with the own offset but another digest.
    std::uint64_t diverging_states() const
    {
        return diverging_states_;
    }

private:
    void note_time(core::time_point now);
    void update_roles(core::time_point now);
    void update_cells();
    void receive_heartbeat(peer::frame const& received,
                           settings::endpoint const& source,
                           core::time_point now,
                           outbox& out);
    void receive_suspicions(peer::heartbeat const& beat,
                            core::time_point now,
                            outbox& out);
    void receive_probe(peer::probe const& asked,
                       settings::endpoint const& source,
                       core::time_point now,
                       outbox& out);
    void receive_indirect_probe(peer::indirect_probe const& order,
                                settings::endpoint const& source,
                                core::time_point now,
                                outbox& out);
    void receive_ack(peer::ack const& answer,
                     core::instance_id const& sender,
                     core::time_point now,
                     outbox& out);
    void receive_digest(peer::frame const& received,
                        core::time_point now,
                        outbox& out);
    void claim(core::log_offset offset,
               std::uint64_t digest,
               core::time_point as_of);
    void send_heartbeat(core::time_point now, outbox& out);
    void probe_for_freshness(core::time_point now, outbox& out);
    void send_digests(core::time_point now, outbox& out);
    void send_digests_to_region(core::region const& region,
                                std::vector<peer::cell_digest> const& digests,
                                core::time_point now,
                                outbox& out);
    std::chrono::milliseconds uptime(core::time_point now) const;
    void pass_on(peer::cell_digest digest, core::time_point now, outbox& out);
    void speak_for(peer::cell_digest& digest,
                   std::uint8_t hops,
                   core::time_point now) const;
    bool belongs_here(core::instance_id const& id) const;
    void ask_outside(core::time_point now, outbox& out);
    std::vector<peer::destination> cell_contacts(cell_map::cell_index cell,
                                                 core::time_point now) const;
    template <typename Predicate>
    std::vector<peer::destination> listed_contacts(peer::peer_scope scope,
                                                   Predicate matches) const;
    std::vector<peer::destination> cell_destinations() const;
    std::vector<peer::cell_digest> own_digests(core::time_point now) const;
    std::vector<peer::suspicion> suspicions() const;

    /// Times and bounds.
    cell_protocol_settings settings_;
    /// This instance.
    local_identity identity_;
    /// Zero of the uptime.
    core::time_point started_;
    /// State that heartbeats carry.
    local_state state_;
    /// Own refutation number.
    std::uint32_t refutation_ = 0;
    /// Whether this instance is leaving.
    bool leaving_ = false;

    /// Members of the cell.
    member_table table_;
    /// Probes of silent members.
    probe_scheduler probes_;
    /// Election of the readers.
    reader_election reader_election_;
    /// Election of the relay.
    relay_election relay_election_;
    /// Members of other cells.
    region_digest_table digests_;
    /// Spread of records.
    record_replicator replicator_;
    /// Own freshness.
    freshness_tracker freshness_;
    /// Cells of the own region.
    cell_map cells_;
    /// Members for which `cells_` was computed, in order.
    std::vector<core::instance_id> mapped_members_;
    /// The platform's newest list.
    std::vector<listed_instance> list_;

    /// Whether this instance reads the log.
    bool reader_ = false;
    /// Whether it is the reader that pushes.
    bool first_reader_ = false;
    /// Whether it is the relay.
    bool relay_ = false;
    /// When the last successful read of the log was sent, or when this
    /// instance became a reader.
    core::time_point last_log_read_;
    /// Until when this instance counts as unable to read the log.
    core::time_point log_failed_until_;
    /// Last time that a step saw.
    core::time_point last_step_;
    /// When the next heartbeat is due.
    core::time_point next_heartbeat_;
    /// When the next freshness probe is due.
    core::time_point next_freshness_probe_;
    /// When the next digest is due.
    core::time_point next_digest_;
    /// Counts digests, to try the members of a silent region in turn.
    std::size_t digest_round_ = 0;
    /// Since when another cell is known to have more records.
    std::optional<core::time_point> behind_outside_since_;
    /// A higher incarnation of the own id.
    std::optional<core::incarnation> higher_incarnation_;
    /// Until when buffered messages of a pause may come.
    core::time_point settled_at_;
    /// Finds late digests from outside the cell.
    sender_lateness_filters outside_lateness_;
    /// Pauses that were noticed.
    std::uint64_t pauses_ = 0;
    /// Diverging states that were seen.
    std::uint64_t diverging_states_ = 0;
};

} // namespace kumquatloom::membership

#endif
