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

/// Source of new records.
enum class record_origin : std::uint8_t
{
    /// This instance read them from the log.
    log,
    /// Sent by an instance of another cell or region.
    outside_peer,
    /// Sent by a member of the cell.
    cell_member,
    count
};

/// Membership protocol of one instance: heartbeats, probes, role elections,
/// digests and record replication. It performs no I/O: the owner passes in
/// received frames and the time, and sends the contents of the outbox. Not
/// thread-safe.
class cell_protocol
{
public:
    /// Number of live members that hold the records up to a state offset.
    struct holders
    {
        /// Live members of the cell, without this instance.
        std::size_t live = 0;
        /// Members of `live` that are known to hold the records.
        std::size_t holding = 0;
    };

    /// Starts the protocol at `now`, from which uptime is measured.
    cell_protocol(cell_protocol_settings settings,
                  local_identity identity,
                  core::time_point now);

    /// Runs the tasks that are due; to be called about every 100 ms.
    void tick(core::time_point now, outbox& out);

    /// Processes a frame. Message kinds of other packages are ignored.
    void receive(peer::frame const& received,
                 settings::endpoint const& source,
                 core::time_point now,
                 outbox& out);

    /// Applies the platform's list of entry instances of all regions.
    void apply_list(std::vector<listed_instance> list, core::time_point now);

    /// Updates the local state when it changed without new records, or when
    /// readiness changed.
    void update_state(local_state const& state);

    /// Updates the local state after new records were reduced. Pushes them to
    /// the other members if they came from outside the cell, and to the other
    /// members and the relays of the region's other cells if they came from the
    /// log and this instance is the first reader.
    void records_applied(local_state const& state,
                         record_origin origin,
                         outbox& out);

    /// Reports that all records of a log read, sent at `sent`, have been
    /// reduced.
    void log_read(core::time_point sent);

    /// Reports that the log cannot be read, so that another member takes over
    /// as reader. The same happens without this call if log_read() is not
    /// called in time.
    void log_failed(core::time_point now);

    /// Processes a sync response. Its freshness takes effect once the records
    /// are reduced. Returns false if the response was not requested, as for a
    /// push.
    bool sync_answered(peer::sync_response const& response);

    /// Ends the wait for the response to a sync request, for example because
    /// the request failed.
    void cancel_sync(std::uint64_t nonce);

    /// Announces to the cell that this instance is leaving; cannot be undone.
    void begin_leaving(core::time_point now, outbox& out);

    /// Switches to a higher incarnation.
    void adopt_incarnation(core::incarnation incarnation);

    /// A higher incarnation of the own id that a peer has reported. The owner
    /// then calls adopt_incarnation() with this value plus one.
    std::optional<core::incarnation> higher_incarnation() const
    {
        return higher_incarnation_;
    }

    /// Whether this instance is elected to read the log.
    bool reader() const
    {
        return reader_;
    }

    /// Whether this instance is elected to exchange digests with other cells
    /// and regions.
    bool relay() const
    {
        return relay_;
    }

    /// Whether this instance has announced that it is leaving.
    bool leaving() const
    {
        return leaving_;
    }

    /// Age of the own state's freshness, or freshness_tracker::never.
    std::chrono::milliseconds freshness_age(core::time_point now) const;

    /// Whether the own state's freshness is younger than the freshness lease.
    bool fresh(core::time_point now) const;

    /// Other members of the cell.
    member_table const& table() const
    {
        return table_;
    }

    /// Members of other cells and regions.
    region_digest_table const& digests() const
    {
        return digests_;
    }

    /// Cells of the own region.
    cell_map const& cells() const
    {
        return cells_;
    }

    cell_map::cell_index own_cell() const;

    /// Number of live members, and how many of them hold the records up to a
    /// state offset.
    holders holders_of(core::log_offset offset) const;

    /// All instances of the fleet that were heard of, including this one.
    std::vector<known_instance> known_instances(core::time_point now) const;

    /// Number of detected pauses of this process.
    std::uint64_t pauses() const
    {
        return pauses_;
    }

    /// Number of observed peer states with the own offset but another chain
    /// digest.
    std::uint64_t diverging_states() const
    {
        return diverging_states_;
    }

private:
    void detect_pause(core::time_point now);
    void update_roles(core::time_point now);
    void update_cells();
    void receive_heartbeat(peer::frame const& received,
                           settings::endpoint const& source,
                           core::time_point now,
                           outbox& out);
    void receive_suspicions(peer::heartbeat const& heartbeat,
                            core::time_point now,
                            outbox& out);
    void receive_probe(peer::probe const& request,
                       settings::endpoint const& source,
                       core::time_point now,
                       outbox& out);
    void receive_indirect_probe(peer::indirect_probe const& request,
                                settings::endpoint const& source,
                                core::time_point now,
                                outbox& out);
    void receive_ack(peer::ack const& ack,
                     core::instance_id const& sender,
                     core::time_point now,
                     outbox& out);
    void receive_digest(peer::frame const& received,
                        core::time_point now,
                        outbox& out);
    void apply_freshness_claim(core::log_offset offset,
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
    void
    forward_digest(peer::cell_digest digest, core::time_point now, outbox& out);
    void fill_relay_fields(peer::cell_digest& digest,
                           std::uint8_t hops,
                           core::time_point now) const;
    bool is_in_own_cell(core::instance_id const& id) const;
    void request_from_outside(core::time_point now, outbox& out);
    std::vector<peer::destination> cell_contacts(cell_map::cell_index cell,
                                                 core::time_point now) const;
    template <typename Predicate>
    std::vector<peer::destination> listed_contacts(peer::peer_scope scope,
                                                   Predicate matches) const;
    std::vector<peer::destination> cell_destinations() const;
    std::vector<peer::cell_digest> own_digests(core::time_point now) const;
    std::vector<peer::suspicion> suspicions() const;

    cell_protocol_settings settings_;
    local_identity identity_;
    /// Start of the uptime.
    core::time_point started_;
    /// State reported in heartbeats.
    local_state state_;
    /// Own refutation number; increased to refute a suspicion.
    std::uint32_t refutation_ = 0;
    bool leaving_ = false;

    member_table table_;
    probe_scheduler probes_;
    reader_election reader_election_;
    relay_election relay_election_;
    /// Members of other cells and regions.
    region_digest_table digests_;
    /// Replication of records within the cell.
    record_replicator replicator_;
    /// Freshness of the own state.
    freshness_tracker freshness_;
    /// Cells of the own region.
    cell_map cells_;
    /// Sorted members from which `cells_` was computed.
    std::vector<core::instance_id> mapped_members_;
    /// Last list from the platform.
    std::vector<listed_instance> list_;

    /// Whether this instance is an elected reader of the log.
    bool reader_ = false;
    /// Whether it is the first of the readers, which pushes new records.
    bool first_reader_ = false;
    bool relay_ = false;
    /// Start of the time without a successful log read: the send time of the
    /// last one, or the later time at which this instance became a reader or
    /// `log_timeout` last elapsed.
    core::time_point last_log_read_;
    /// Until this time, the instance counts as unable to read the log.
    core::time_point log_failed_until_;
    /// Time of the last call of tick() or receive(), from which pauses are
    /// detected.
    core::time_point last_step_;
    core::time_point next_heartbeat_;
    core::time_point next_freshness_probe_;
    core::time_point next_digest_;
    /// Number of digest rounds; selects the listed members that are tried if a
    /// cell or region has no known relay.
    std::size_t digest_round_ = 0;
    /// Time since which another cell is known to have more records.
    std::optional<core::time_point> behind_outside_since_;
    /// See higher_incarnation().
    std::optional<core::incarnation> higher_incarnation_;
    /// Time until which messages buffered during a pause may still arrive.
    core::time_point buffered_messages_until_;
    /// Measures how late digests from outside the cell are.
    sender_lateness_filters outside_lateness_;
    std::uint64_t pauses_ = 0;
    std::uint64_t diverging_states_ = 0;
};

} // namespace kumquatloom::membership

#endif
