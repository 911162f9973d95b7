#include <kumquatloom/control/bound_transports.hpp>
#include <kumquatloom/control/control_plane.hpp>
#include <kumquatloom/control/control_status.hpp>
#include <kumquatloom/control/fleet_state.hpp>
#include <kumquatloom/control/log_writer.hpp>
#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/core/rcu_cell.hpp>
#include <kumquatloom/document/eject_record.hpp>
#include <kumquatloom/document/log_record.hpp>
#include <kumquatloom/document/readmit_record.hpp>
#include <kumquatloom/document/reduced_document.hpp>
#include <kumquatloom/health/eject_record.hpp>
#include <kumquatloom/health/readmit_record.hpp>
#include <kumquatloom/log_service/log_client.hpp>
#include <kumquatloom/membership/cell_protocol.hpp>
#include <kumquatloom/membership/outbox.hpp>
#include <kumquatloom/peer/frame.hpp>
#include <kumquatloom/peer/tcp_transport.hpp>
#include <kumquatloom/peer/udp_transport.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace kumquatloom::control
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Time between two steps of the membership protocol.
constexpr milliseconds tick_interval{100};
/// Time between two messages of health evidence.
constexpr milliseconds evidence_interval{250};
/// Time between two rounds of requests for rate limit shares.
constexpr milliseconds share_interval{500};
/// Longest time that a read of the log waits for a new record.
constexpr milliseconds long_poll_timeout{500};
/// Delay before a failed read of the log is retried.
constexpr milliseconds read_retry_delay{200};
/// Time limit of a request to a peer.
constexpr milliseconds peer_request_timeout{1000};
/// Time limit for an operator's edit to be appended, read back and reduced.
constexpr milliseconds edit_timeout{10000};
/// An instance proposes ejections and writes snapshots only while its state is
/// younger than this.
constexpr milliseconds freshness_lease{5000};

/// Offset of the last record that a member has reduced, from the number of
/// records that it announces.
std::optional<core::log_offset> last_reduced_offset(core::log_offset records)
{
    if (records == 0)
        return std::nullopt;
    return records - 1;
}

asio::awaitable<void> sleep_for(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(as_result);
}

fleet_state_settings state_settings(settings::instance_settings const& settings)
{
    fleet_state_settings result;
    result.activation.quorum_slack = settings.fleet.quorum_slack;
    result.readiness.quorum_slack = settings.fleet.quorum_slack;
    if (!settings.fleet.platform_public_key.empty())
        result.reducer.platform_public_key = settings.fleet.platform_public_key;
    return result;
}

membership::cell_protocol_settings
protocol_settings(settings::instance_settings const& settings)
{
    membership::cell_protocol_settings result;
    result.readers.readers_per_region = settings.fleet.readers_per_region;
    result.seeds = settings.fleet.seeds;
    result.random_seed = core::random_u64();
    return result;
}

} // namespace

/// Holds the transports, the replicated state and the membership protocol.
class control_plane::implementation
{
public:
    implementation(asio::io_context& io,
                   settings::instance_settings const& instance_settings,
                   core::incarnation initial_incarnation,
                   control_hooks callbacks)
        : context(io)
        , settings(instance_settings)
        , incarnation(initial_incarnation)
        , hooks(std::move(callbacks))
        , transports(bind_transports(
              io, instance_settings, initial_incarnation, traffic))
        , state(state_settings(instance_settings))
        , log(instance_settings.platform.log)
        , writer(io, log, {})
        , tick_timer(io)
    {
    }

    /// Starts the membership protocol and the periodic coroutines.
    void start(settings::endpoint const& callers_address)
    {
        membership::local_identity identity;
        identity.id = settings.instance.id;
        identity.incarnation = incarnation;
        identity.failure_domain = settings.instance.failure_domain;
        identity.region = settings.instance.region;
        identity.callers_address = to_string(callers_address);
        identity.peer_address = transports.udp->local_endpoint();
        protocol.emplace(
            protocol_settings(settings), identity, core::clock::now());
        auto const scope_lookup = [this](core::instance_id const& sender)
        {
            return peer_scope_of(sender);
        };
        transports.udp->start(
            [this](peer::frame const& frame, settings::endpoint const& source)
            {
                post_datagram(frame, source);
            },
            scope_lookup);
        transports.tcp->start(
            [this](peer::frame const& frame,
                   peer::tcp_transport::responder respond)
            {
                post_stream_frame(frame, std::move(respond));
            },
            scope_lookup);
        asio::co_spawn(context, tick(), asio::detached);
        asio::co_spawn(context, read_log(), asio::detached);
        asio::co_spawn(context, writer.run(), asio::detached);
    }

    void stop()
    {
        stopped = true;
        tick_timer.cancel();
        writer.stop();
        transports.udp->stop();
        transports.tcp->stop();
    }

    /// Whether the sender of a frame is in the same region, for the byte
    /// counters. Until the first view of the region is published, all senders
    /// count as in the same region. May be called from other threads.
    peer::peer_scope peer_scope_of(core::instance_id const& sender) const
    {
        auto const view = same_region_members.read();
        if (!view || view->instances.contains(sender))
            return peer::peer_scope::same_region;
        return peer::peer_scope::other_region;
    }

    /// Posts a datagram to the control thread.
    void post_datagram(peer::frame const& frame,
                       settings::endpoint const& source)
    {
        asio::post(context,
                   [this, frame, source]
                   {
                       if (!stopped)
                           handle_datagram(frame, source);
                   });
    }

    /// Posts a stream request or push to the control thread.
    void post_stream_frame(peer::frame const& frame,
                           peer::tcp_transport::responder respond)
    {
        asio::post(context,
                   [this, frame, respond = std::move(respond)]
                   {
                       if (!stopped)
                           handle_stream_frame(frame, respond);
                   });
    }

    /// Handles one datagram.
    void handle_datagram(peer::frame const& frame,
                         settings::endpoint const& source)
    {
        auto const now = core::clock::now();
        if (auto const* const evidence =
                std::get_if<peer::evidence>(&frame.body))
        {
            hooks.evidence_received(evidence->payload, now);
            return;
        }
        if (auto const* const announcement =
                std::get_if<peer::upstream_leaving>(&frame.body))
        {
            hooks.upstream_leaving(announcement->service,
                                   announcement->upstream);
            return;
        }
        membership::outbox out;
        protocol->receive(frame, source, now, out);
        send_outbox(out);
    }

    /// Handles one stream request or push.
    void handle_stream_frame(peer::frame const& frame,
                             peer::tcp_transport::responder const& respond)
    {
        auto const now = core::clock::now();
        if (auto const* const request =
                std::get_if<peer::sync_request>(&frame.body))
        {
            auto response = state.make_sync_response(*request);
            response.freshness_age = protocol->freshness_age(now);
            respond(response);
        }
        else if (auto const* const push =
                     std::get_if<peer::sync_response>(&frame.body))
        {
            // A push has no request time to measure its age from, so it never
            // renews the freshness.
            apply_peer_records(*push, origin_of(frame.sender), now);
        }
        else if (auto const* const share =
                     std::get_if<peer::share_request>(&frame.body))
        {
            if (auto grant = hooks.share_requested(share->payload, now))
                respond(peer::share_grant{share->nonce, std::move(*grant)});
        }
    }

    /// Whether a sender of records is a member of the cell.
    membership::record_origin origin_of(core::instance_id const& sender) const
    {
        return protocol->table().find(sender) != nullptr
                   ? membership::record_origin::cell_member
                   : membership::record_origin::outside_peer;
    }

    /// Reduces records from a peer and propagates the new ones.
    void apply_peer_records(peer::sync_response const& response,
                            membership::record_origin origin,
                            core::time_point now)
    {
        if (state.apply_peer_records(response, now))
            propagate_records(origin, now);
    }

    /// Passes new records to the membership protocol, which pushes them to
    /// peers, and activates the offsets that the quorum allows.
    void propagate_records(membership::record_origin origin,
                           core::time_point now)
    {
        membership::outbox out;
        protocol->records_applied(advertised_state(), origin, out);
        send_outbox(out);
        activate(now);
    }

    /// The state that heartbeats advertise, with the readiness.
    membership::local_state advertised_state() const
    {
        auto result = state.advertised_state();
        result.ready = ready;
        return result;
    }

    /// Sends the datagrams, sync requests and pushes of one protocol step.
    void send_outbox(membership::outbox& out)
    {
        for (auto& datagram : out.datagrams)
            transports.udp->send(std::move(datagram.to),
                                 std::move(datagram.body));
        for (auto const& sync : out.syncs)
            request_records(sync);
        for (auto const& push : out.pushes)
        {
            peer::sync_request request;
            request.first_missing_record = push.first_missing_record;
            auto response = state.make_sync_response(request);
            if (!response.records.empty())
                transports.tcp->push(
                    push.to, std::move(response), peer_request_timeout);
        }
    }

    /// Requests records from a peer. The peer responds with a snapshot if it
    /// no longer retains all of them.
    void request_records(membership::outgoing_sync const& sync)
    {
        auto const nonce = sync.request.nonce;
        auto const origin = origin_of(sync.peer);
        transports.tcp->request(
            sync.to,
            sync.request,
            peer_request_timeout,
            [this, nonce, origin, to = sync.to](auto const& answer)
            {
                asio::post(context,
                           [this, nonce, origin, to, answer]
                           {
                               if (!stopped)
                                   handle_sync_response(
                                       nonce, origin, to, answer);
                           });
            });
    }

    /// Handles the response to a sync request, or its failure.
    void
    handle_sync_response(std::uint64_t nonce,
                         membership::record_origin origin,
                         peer::destination const& to,
                         core::result<peer::frame, peer::peer_error> answer)
    {
        if (!answer)
        {
            protocol->cancel_sync(nonce);
            return;
        }
        auto const now = core::clock::now();
        auto const& response =
            std::get<peer::sync_response>(answer.value().body);
        if (response.snapshot_size != 0)
        {
            append_snapshot_part(response, to, origin, now);
            // The response brings no records, so the request counts as failed
            // and another member may be asked.
            protocol->cancel_sync(nonce);
            return;
        }
        apply_peer_records(response, origin, now);
        protocol->sync_answered(response);
    }

    /// Appends a part of a snapshot and requests the next one; after the last
    /// part restores the state. Ignores a part that does not continue the
    /// received bytes.
    void append_snapshot_part(peer::sync_response const& part,
                              peer::destination const& to,
                              membership::record_origin origin,
                              core::time_point now)
    {
        if (part.snapshot_position == 0)
            snapshot_text.clear();
        if (part.snapshot_position != snapshot_text.size() ||
            part.snapshot_part.empty())
            return;
        snapshot_text += part.snapshot_part;
        if (snapshot_text.size() >= part.snapshot_size)
        {
            if (state.restore_peer_snapshot(snapshot_text, now))
                propagate_records(origin, now);
            snapshot_text = {};
            return;
        }
        membership::outgoing_sync sync;
        sync.to = to;
        sync.request.nonce = core::random_u64();
        sync.request.snapshot_offset = part.snapshot_offset;
        sync.request.snapshot_position = snapshot_text.size();
        request_records(sync);
    }

    /// Runs step() periodically.
    asio::awaitable<void> tick()
    {
        while (!stopped)
        {
            auto const now = core::clock::now();
            step(now);
            tick_timer.expires_at(now + tick_interval);
            co_await tick_timer.async_wait(as_result);
        }
    }

    void step(core::time_point now)
    {
        adopt_higher_incarnation();
        protocol->update_state(advertised_state());
        membership::outbox out;
        protocol->tick(now, out);
        send_outbox(out);
        update_readiness();
        activate(now);
        if (now >= next_evidence_at)
        {
            next_evidence_at = now + evidence_interval;
            send_evidence(now);
        }
        if (now >= next_share_requests_at)
        {
            next_share_requests_at = now + share_interval;
            request_shares(now);
        }
        write_snapshot();
        publish_fleet_view(now);
    }

    /// If a peer has seen a higher incarnation of this instance, continues with
    /// one above it, so that peers do not discard this instance's frames.
    void adopt_higher_incarnation()
    {
        auto const higher = protocol->higher_incarnation();
        if (!higher)
            return;
        incarnation = *higher + 1;
        protocol->adopt_incarnation(incarnation);
        transports.udp->adopt_incarnation(incarnation);
        transports.tcp->adopt_incarnation(incarnation);
    }

    /// Updates the readiness rule from the member table and reports a change of
    /// readiness.
    void update_readiness()
    {
        for (auto const& [id, member] : protocol->table().members())
        {
            if (member.state == membership::member_state::dead)
            {
                state.readiness().remove_member(id);
                continue;
            }
            state.readiness().add_member(id);
            if (member.heard() && member.state_offset != 0)
                state.readiness().record_report(
                    id, member.ready, member.state_offset);
        }
        bool const now_ready =
            state.update_readiness() && state.active_document() != nullptr;
        if (now_ready == ready)
            return;
        ready = now_ready;
        core::log_info(ready ? "ready" : "not_ready");
        hooks.readiness_changed(ready);
    }

    /// Updates the active offset and passes a newly active document to the
    /// owner.
    void activate(core::time_point now)
    {
        std::vector<std::optional<core::log_offset>> member_offsets;
        for (auto const& [id, member] : protocol->table().members())
            if (member.live())
                member_offsets.push_back(
                    last_reduced_offset(member.state_offset));
        bool const changed = state.update_activation(member_offsets, now);
        auto const& document = state.active_document();
        if (!state.update_readiness() || !document ||
            (!changed && published_version == document->version))
            return;
        published_version = document->version;
        unsigned instances = 0;
        for (auto const& [region, count] : document->expected_entry_instances)
            instances += count;
        writer.update_instance_count(instances);
        core::log_info("document_in_force",
                       {{"version", std::to_string(document->version)}});
        hooks.document_activated(document);
    }

    void send_evidence(core::time_point now)
    {
        auto const destinations = live_destinations();
        for (auto& payload : hooks.evidence_due(now))
            if (!destinations.empty())
                transports.udp->send(destinations,
                                     peer::evidence{std::move(payload)});
    }

    /// Peer addresses of the live members of the cell.
    std::vector<peer::destination> live_destinations() const
    {
        std::vector<peer::destination> result;
        for (auto const& [id, member] : protocol->table().members())
            if (member.live())
                result.push_back(
                    {member.peer_address, peer::peer_scope::same_region});
        return result;
    }

    /// Sends each request for a rate limit share to one random live member.
    void request_shares(core::time_point now)
    {
        auto const destinations = live_destinations();
        if (destinations.empty())
            return;
        for (auto& payload : hooks.share_requests_due(now))
        {
            std::uniform_int_distribution<std::size_t> index(
                0, destinations.size() - 1);
            peer::share_request request{core::random_u64(), std::move(payload)};
            transports.tcp->request(
                destinations[index(random)],
                std::move(request),
                peer_request_timeout,
                [this](auto const& answer)
                {
                    if (!answer)
                        return;
                    auto const grant =
                        std::get<peer::share_grant>(answer.value().body);
                    asio::post(context,
                               [this, payload = grant.payload]
                               {
                                   if (!stopped)
                                       hooks.share_granted(payload,
                                                           core::clock::now());
                               });
                });
        }
    }

    /// Writes a snapshot to the log if one is due and this instance is the
    /// elected snapshot writer.
    void write_snapshot()
    {
        if (!state.snapshot_due(core::clock::now()) || writer.waiting() > 0 ||
            !is_fresh() || !is_elected_writer("snapshot"))
            return;
        for (auto& text : state.snapshot_records())
            writer.append(std::move(text),
                          [this]
                          {
                              return state.snapshot_due(core::clock::now());
                          });
    }

    /// Passes the known instances and the ejection ledger to the owner.
    void publish_fleet_view(core::time_point now)
    {
        auto known = protocol->known_instances(now);
        boost::intrusive_ptr<same_region_view> view(new same_region_view);
        for (auto const& instance : known)
            if (instance.region == settings.instance.region)
                view->instances.insert(instance.id);
        same_region_members.publish(std::move(view));
        hooks.instances_updated(std::move(known));
        auto const age = protocol->freshness_age(now);
        std::optional<core::time_point> fresh_as_of;
        if (age != membership::freshness_tracker::never)
            fresh_as_of = now - age;
        hooks.ejections_updated(state.ejections(), fresh_as_of);
    }

    /// Reads the log while this instance is an elected reader or is not ready
    /// to serve.
    asio::awaitable<void> read_log()
    {
        while (!stopped)
        {
            bool const needs_log = protocol->reader() || !ready;
            if (!needs_log)
            {
                co_await sleep_for(tick_interval);
                continue;
            }
            bool const succeeded = co_await read_once();
            report_log_reachability(succeeded);
            if (!succeeded)
                co_await sleep_for(read_retry_delay);
        }
    }

    /// Performs one read of the log. Returns false if the log is unreachable.
    asio::awaitable<bool> read_once()
    {
        auto const request = state.next_read();
        auto const sent = core::clock::now();
        auto const wait = request.wait ? long_poll_timeout : milliseconds(0);
        auto const page = co_await log.read(request.from, request.max, wait);
        if (stopped)
            co_return true;
        if (!page)
        {
            if (page.error() != log_service::read_error::retention_cut)
            {
                state.handle_failed_read();
                protocol->log_failed(core::clock::now());
                co_return false;
            }
            auto const range = co_await log.read_range();
            if (range)
                state.handle_retention_cut(range.value().first);
            co_return range.has_value();
        }
        auto const now = core::clock::now();
        bool const advanced = state.apply_log_page(request, page.value(), now);
        // The response to a long poll only proves that the state was current
        // when the read was sent, so the send time sets the freshness.
        if (state.at_log_head() && !state.log_disagrees())
            protocol->log_read(sent);
        if (advanced)
            propagate_records(membership::record_origin::log, now);
        // Avoids a busy loop when a page brings no progress, for example
        // because the log was truncated.
        if (!advanced && !request.wait)
            co_await sleep_for(tick_interval);
        co_return true;
    }

    /// Logs an event when the reachability of the platform's log changes.
    void report_log_reachability(bool reachable)
    {
        if (log_reachable == reachable)
            return;
        log_reachable = reachable;
        if (reachable)
            core::log_info("log_reachable");
        else
            core::log_warning("log_unreachable");
    }

    /// Whether the state is younger than the freshness lease.
    bool is_fresh() const
    {
        return protocol->freshness_age(core::clock::now()) < freshness_lease;
    }

    /// Whether this instance has the highest rendezvous hash for a key among
    /// the live members of its cell.
    bool is_elected_writer(std::string const& key) const
    {
        auto const own_score =
            core::rendezvous_score(key, settings.instance.id.value());
        for (auto const& [id, member] : protocol->table().members())
            if (member.live() &&
                core::rendezvous_score(key, id.value()) > own_score)
                return false;
        return true;
    }

    /// Instances of this instance's region, read by other threads.
    struct same_region_view : boost::intrusive_ref_counter<same_region_view>
    {
        /// Ids of the instances.
        std::set<core::instance_id> instances;
    };

    /// Runs all coroutines and handlers; belongs to the control thread.
    asio::io_context& context;
    /// Settings of the instance.
    settings::instance_settings const& settings;
    /// Current incarnation of this instance.
    core::incarnation incarnation;
    /// Callbacks to the owner.
    control_hooks hooks;
    /// Byte and frame counters of the peer protocol.
    peer::traffic_counters traffic;
    /// The transports of the peer protocol.
    bound_transports transports;
    /// The replicated state.
    fleet_state state;
    /// Client of the platform's log.
    log_service::log_client log;
    /// Appends the records of this instance to the log.
    log_writer writer;
    /// Membership protocol; set by start().
    std::optional<membership::cell_protocol> protocol;
    /// Schedules the next step.
    asio::steady_timer tick_timer;
    /// Instances of this instance's region, for peer_scope_of().
    core::rcu_cell<same_region_view> same_region_members;
    /// Received bytes of a snapshot that is being fetched from a peer.
    std::string snapshot_text;
    /// Time of the next evidence message.
    core::time_point next_evidence_at;
    /// Time of the next round of share requests.
    core::time_point next_share_requests_at;
    /// Version of the document that was last passed to the owner.
    std::optional<core::log_offset> published_version;
    /// Whether the last read of the log succeeded; absent before the first.
    std::optional<bool> log_reachable;
    /// Whether the instance is ready to serve callers.
    bool ready = false;
    /// Whether stop() was called.
    bool stopped = false;
    /// Chooses the members that share requests are sent to.
    std::mt19937_64 random{core::random_u64()};
};

control_plane::control_plane(asio::io_context& context,
                             settings::instance_settings const& settings,
                             core::incarnation incarnation,
                             control_hooks hooks)
    : implementation_(std::make_unique<implementation>(
          context, settings, incarnation, std::move(hooks)))
{
}

control_plane::~control_plane() = default;

void control_plane::start(settings::endpoint const& callers_address)
{
    implementation_->start(callers_address);
}

void control_plane::apply_list(std::vector<membership::listed_instance> entries)
{
    implementation_->protocol->apply_list(std::move(entries),
                                          core::clock::now());
}

void control_plane::begin_leaving()
{
    membership::outbox out;
    implementation_->protocol->begin_leaving(core::clock::now(), out);
    implementation_->send_outbox(out);
}

void control_plane::stop()
{
    implementation_->stop();
}

settings::endpoint control_plane::peers_address() const
{
    return implementation_->transports.udp->local_endpoint();
}

asio::awaitable<document::edit_report>
control_plane::append_edit(document::edit_record const& edit)
{
    auto& impl = *implementation_;
    document::edit_report report;
    report.id = edit.id;
    auto const appended = co_await impl.log.append(document::to_text(edit));
    if (!appended && appended.error() != log_service::append_error::unknown)
    {
        report.result = document::edit_result::rejected;
        report.reason = "the log took no append: " +
                        std::string(to_string(appended.error()));
        co_return report;
    }
    // The edit is accepted or rejected when its record is read back from the
    // log and reduced.
    auto const deadline = core::clock::now() + edit_timeout;
    while (core::clock::now() < deadline && !impl.stopped)
    {
        if (auto const* const outcome = impl.state.find_outcome(edit.id))
            co_return document::report_of(*outcome);
        co_await sleep_for(milliseconds(20));
    }
    report.reason = "the record was not read back in time";
    co_return report;
}

std::string control_plane::document_text(std::string_view part) const
{
    auto const& reduced = implementation_->state.reduced();
    return reduced.created ? document::to_text(reduced, part) : std::string();
}

void control_plane::announce_upstream_leaving(core::service_name const& service,
                                              core::upstream_id const& upstream)
{
    auto const destinations = implementation_->live_destinations();
    if (!destinations.empty())
        implementation_->transports.udp->send(
            destinations, peer::upstream_leaving{service, upstream});
}

void control_plane::append_ejection(ejection_record const& record)
{
    auto& impl = *implementation_;
    std::visit(
        [&](auto const& entry)
        {
            auto const service = entry.service;
            impl.writer.append(document::to_text(to_log_record(entry)),
                               [&impl, service]
                               {
                                   return impl.is_fresh() &&
                                          impl.is_elected_writer(
                                              service.value());
                               });
        },
        record);
}

bool control_plane::is_writer(core::service_name const& service) const
{
    return implementation_->is_elected_writer(service.value());
}

unsigned control_plane::cell_domains() const
{
    std::set<core::failure_domain> domains{
        implementation_->settings.instance.failure_domain};
    for (auto const& [id, member] :
         implementation_->protocol->table().members())
        if (member.live())
            domains.insert(member.failure_domain);
    return static_cast<unsigned>(domains.size());
}

bool control_plane::is_fresh() const
{
    return implementation_->is_fresh();
}

control_status control_plane::status() const
{
    auto const& impl = *implementation_;
    auto const advertised = impl.state.advertised_state();
    auto const now = core::clock::now();
    control_status result;
    result.state_offset = advertised.state_offset;
    result.known_version = advertised.document_version;
    result.ready = impl.ready;
    result.fresh = impl.is_fresh();
    if (auto const age = impl.protocol->freshness_age(now);
        age != membership::freshness_tracker::never)
        result.freshness_age = age;
    result.reader = impl.protocol->reader();
    result.relay = impl.protocol->relay();
    for (auto const& [id, member] : impl.protocol->table().members())
        result.live_members += member.live() ? 1 : 0;
    result.log_disagrees = impl.state.log_disagrees();
    for (auto const& [service, slots] : impl.state.ejections().services())
        result.ejections +=
            static_cast<std::size_t>(std::count_if(slots.begin(),
                                                   slots.end(),
                                                   [](auto const& slot)
                                                   {
                                                       return !slot.is_free();
                                                   }));
    result.waiting_appends = impl.writer.waiting();
    auto const& writes = impl.writer.results();
    result.appended = writes.value(append_result::appended);
    result.failed_appends = writes.value(append_result::failed) +
                            writes.value(append_result::unknown);
    result.dropped_frames = impl.transports.udp->drops().total() +
                            impl.transports.tcp->drops().total();
    result.state_bytes = impl.state.memory_bytes();
    return result;
}

peer::traffic_counters const& control_plane::traffic() const
{
    return implementation_->traffic;
}

} // namespace kumquatloom::control
