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
/// Time between two messages of evidence.
constexpr milliseconds evidence_interval{250};
/// Time between two rounds of requests for shares.
constexpr milliseconds share_interval{500};
/// Longest wait of a read for a new record.
constexpr milliseconds long_poll{500};
/// Pause before a failed read of the log is repeated.
constexpr milliseconds read_retry{200};
/// Time limit of a request to a peer.
constexpr milliseconds peer_timeout{1000};
/// How long an operator's edit waits for its reduction.
constexpr milliseconds edit_patience{10000};
/// Ejections are honoured, and snapshots written, by a fresh instance only.
constexpr milliseconds freshness_lease{5000};

/// The last log offset that a member holds which announces a number of records.
std::optional<core::log_offset> last_offset(core::log_offset records)
{
    if (records == 0)
        return std::nullopt;
    return records - 1;
}

asio::awaitable<void> pause(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(as_result);
}

fleet_state_settings state_settings(settings::instance_settings const& settings)
{
    fleet_state_settings result;
    result.activation.quorum_slack = settings.fleet.quorum_slack;
    result.start.quorum_slack = settings.fleet.quorum_slack;
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

/// Everything that the control plane owns.
class control_plane::implementation
{
public:
    implementation(asio::io_context& run_on,
                   settings::instance_settings const& given,
                   core::incarnation own_incarnation,
                   control_hooks given_hooks)
        : context(run_on)
        , settings(given)
        , incarnation(own_incarnation)
        , hooks(std::move(given_hooks))
        , transports(bind_transports(run_on, given, own_incarnation, traffic))
        , state(state_settings(given))
        , log(given.platform.log)
        , writer(run_on, log, {})
        , tick_timer(run_on)
    {
    }

    /// Starts the protocol and all loops.
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
        auto const scope_of = [this](core::instance_id const& sender)
        {
            return scope(sender);
        };
        transports.udp->start(
            [this](peer::frame const& frame, settings::endpoint const& source)
            {
                receive_on_context(frame, source);
            },
            scope_of);
        transports.tcp->start(
            [this](peer::frame const& frame,
                   peer::tcp_transport::responder respond)
            {
                serve_on_context(frame, std::move(respond));
            },
            scope_of);
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

    /// Whether a member of the cell sent a frame, for the byte counters. Only
    /// members of the own region are in the table.
    peer::peer_scope scope(core::instance_id const& sender) const
    {
        auto const known = regions.read();
        if (!known || known->same_region.contains(sender))
            return peer::peer_scope::same_region;
        return peer::peer_scope::other_region;
    }

    /// Moves a datagram to the control thread.
    void receive_on_context(peer::frame const& frame,
                            settings::endpoint const& source)
    {
        asio::post(context,
                   [this, frame, source]
                   {
                       if (!stopped)
                           receive(frame, source);
                   });
    }

    /// Moves a stream request to the control thread.
    void serve_on_context(peer::frame const& frame,
                          peer::tcp_transport::responder respond)
    {
        asio::post(context,
                   [this, frame, respond = std::move(respond)]
                   {
                       if (!stopped)
                           serve(frame, respond);
                   });
    }

    /// Handles one datagram.
    void receive(peer::frame const& frame, settings::endpoint const& source)
    {
        auto const now = core::clock::now();
        if (auto const* const evidence =
                std::get_if<peer::evidence>(&frame.body))
        {
            hooks.evidence_received(evidence->payload, now);
            return;
        }
        if (auto const* const notice =
                std::get_if<peer::upstream_leaving>(&frame.body))
        {
            hooks.upstream_leaving(notice->service, notice->upstream);
            return;
        }
        membership::outbox out;
        protocol->receive(frame, source, now, out);
        dispatch(out);
    }

    /// Handles one stream request or push.
    void serve(peer::frame const& frame,
               peer::tcp_transport::responder const& respond)
    {
        auto const now = core::clock::now();
        if (auto const* const request =
                std::get_if<peer::sync_request>(&frame.body))
        {
            auto response = state.answer(*request);
            response.freshness_age = protocol->freshness_age(now);
            respond(response);
        }
        else if (auto const* const push =
                     std::get_if<peer::sync_response>(&frame.body))
        {
            // A push never renews the freshness.
            take_records(*push, origin_of(frame.sender), now);
        }
        else if (auto const* const wanted =
                     std::get_if<peer::share_request>(&frame.body))
        {
            if (auto grant = hooks.share_requested(wanted->payload, now))
                respond(peer::share_grant{wanted->nonce, std::move(*grant)});
        }
    }

    membership::record_origin origin_of(core::instance_id const& sender) const
    {
        return protocol->table().find(sender) != nullptr
                   ? membership::record_origin::cell_member
                   : membership::record_origin::outside_peer;
    }

    /// Reduces records of a peer and passes them on.
    void take_records(peer::sync_response const& response,
                      membership::record_origin origin,
                      core::time_point now)
    {
        if (state.peer_records(response, now))
            spread(origin, now);
    }

    /// Tells the protocol about new records and puts in force what may be.
    void spread(membership::record_origin origin, core::time_point now)
    {
        membership::outbox out;
        protocol->records_applied(announced(), origin, out);
        dispatch(out);
        activate(now);
    }

    membership::local_state announced() const
    {
        auto result = state.announced();
        result.ready = ready;
        return result;
    }

    /// Sends what a step of the protocol asks for.
    void dispatch(membership::outbox& out)
    {
        for (auto& datagram : out.datagrams)
            transports.udp->send(std::move(datagram.to),
                                 std::move(datagram.body));
        for (auto const& order : out.syncs)
            request_records(order);
        for (auto const& order : out.pushes)
        {
            peer::sync_request request;
            request.from = order.from;
            auto response = state.answer(request);
            if (!response.records.empty())
                transports.tcp->push(
                    order.to, std::move(response), peer_timeout);
        }
    }

    /// Asks a peer for records, and for a snapshot if it has no longer all.
    void request_records(membership::outgoing_sync const& order)
    {
        auto const nonce = order.request.nonce;
        auto const origin = origin_of(order.peer);
        transports.tcp->request(
            order.to,
            order.request,
            peer_timeout,
            [this, nonce, origin, to = order.to](auto const& answer)
            {
                asio::post(context,
                           [this, nonce, origin, to, answer]
                           {
                               if (!stopped)
                                   records_answered(nonce, origin, to, answer);
                           });
            });
    }

    void records_answered(std::uint64_t nonce,
                          membership::record_origin origin,
                          peer::destination const& to,
                          core::result<peer::frame, peer::peer_error> answer)
    {
        if (!answer)
        {
            protocol->sync_failed(nonce);
            return;
        }
        auto const now = core::clock::now();
        auto const& response =
            std::get<peer::sync_response>(answer.value().body);
        if (response.snapshot_size != 0)
        {
            take_snapshot_part(response, to, origin, now);
            protocol->sync_failed(nonce);
            return;
        }
        take_records(response, origin, now);
        protocol->sync_answered(response);
    }

    /// Adds a part of a snapshot and asks for the next one.
    void take_snapshot_part(peer::sync_response const& part,
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
            if (state.peer_snapshot(snapshot_text, now))
                spread(origin, now);
            snapshot_text = {};
            return;
        }
        membership::outgoing_sync order;
        order.to = to;
        order.request.nonce = core::random_u64();
        order.request.snapshot_offset = part.snapshot_offset;
        order.request.snapshot_position = snapshot_text.size();
        request_records(order);
    }

    /// The periodic step.
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
        // Membership.
        protocol->update_state(announced());
        membership::outbox out;
        protocol->tick(now, out);
        dispatch(out);
        // What may be acted on.
        judge_start();
        activate(now);
        // What others need to know.
        if (now >= next_evidence)
        {
            next_evidence = now + evidence_interval;
            send_evidence(now);
        }
        if (now >= next_shares)
        {
            next_shares = now + share_interval;
            ask_for_shares(now);
        }
        write_snapshot();
        publish_knowledge(now);
    }

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

    /// Feeds the start rule with what the members say about themselves.
    void judge_start()
    {
        for (auto const& [id, member] : protocol->table().members())
        {
            if (member.state == membership::member_state::dead)
            {
                state.start().forget(id);
                continue;
            }
            state.start().told_of(id);
            if (member.heard() && member.state_offset != 0)
                state.start().heard_from(id, member.ready, member.state_offset);
        }
        bool const next =
            state.may_serve() && state.active_document() != nullptr;
        if (next == ready)
            return;
        ready = next;
        core::log_info(ready ? "ready" : "not_ready");
        hooks.readiness_changed(ready);
    }

    void activate(core::time_point now)
    {
        std::vector<std::optional<core::log_offset>> others;
        for (auto const& [id, member] : protocol->table().members())
            if (member.live())
                others.push_back(last_offset(member.state_offset));
        bool const changed = state.update_activation(others, now);
        auto const& document = state.active_document();
        if (!state.may_serve() || !document ||
            (!changed && published_version == document->version))
            return;
        published_version = document->version;
        unsigned instances = 0;
        for (auto const& [region, count] : document->expected_entry_instances)
            instances += count;
        writer.expect_instances(instances);
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

    std::vector<peer::destination> live_destinations() const
    {
        std::vector<peer::destination> result;
        for (auto const& [id, member] : protocol->table().members())
            if (member.live())
                result.push_back(
                    {member.peer_address, peer::peer_scope::same_region});
        return result;
    }

    /// Sends each request for a share to one random live member.
    void ask_for_shares(core::time_point now)
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
                peer_timeout,
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

    /// Writes a snapshot if one is due and this instance is its writer.
    void write_snapshot()
    {
        if (!state.snapshot_due(core::clock::now()) || writer.waiting() > 0 ||
            !is_fresh() || !is_writer("snapshot"))
            return;
        for (auto& text : state.snapshot_records())
            writer.append(std::move(text),
                          [this]
                          {
                              return state.snapshot_due(core::clock::now());
                          });
    }

    /// Hands the view of the fleet and of the ejections to the owner.
    void publish_knowledge(core::time_point now)
    {
        auto known = protocol->known_instances(now);
        boost::intrusive_ptr<region_view> view(new region_view);
        for (auto const& instance : known)
            if (instance.region == settings.instance.region)
                view->same_region.insert(instance.id);
        regions.publish(std::move(view));
        hooks.instances_updated(std::move(known));
        auto const age = protocol->freshness_age(now);
        std::optional<core::time_point> fresh_as_of;
        if (age != membership::freshness_tracker::never)
            fresh_as_of = now - age;
        hooks.ejections_updated(state.ejections(), fresh_as_of);
    }

    /// Reads the log while this instance is a reader or does not know enough
    /// to serve.
    asio::awaitable<void> read_log()
    {
        while (!stopped)
        {
            bool const must_read = protocol->reader() || !ready;
            if (!must_read)
            {
                co_await pause(tick_interval);
                continue;
            }
            bool const answered = co_await read_once();
            report_log(answered);
            if (!answered)
                co_await pause(read_retry);
        }
    }

    asio::awaitable<bool> read_once()
    {
        auto const request = state.next_read();
        auto const sent = core::clock::now();
        auto const wait = request.wait ? long_poll : milliseconds(0);
        auto const page = co_await log.read(request.from, request.max, wait);
        if (stopped)
            co_return true;
        if (!page)
        {
            if (page.error() != log_service::read_error::retention_cut)
            {
                state.log_failed();
                protocol->log_failed(core::clock::now());
                co_return false;
            }
            auto const range = co_await log.read_range();
            if (range)
                state.log_cut(range.value().first);
            co_return range.has_value();
        }
        auto const now = core::clock::now();
        bool const advanced = state.log_answered(request, page.value(), now);
        // A read that was answered from before its wait ended is as good as
        // one that was sent then only for its own send time.
        if (state.at_log_head() && !state.log_disagrees())
            protocol->log_read(sent);
        if (advanced)
            spread(membership::record_origin::log, now);
        // A page that made no progress, such as one of a log that was cut
        // back, must not be asked for again at once.
        if (!advanced && !request.wait)
            co_await pause(tick_interval);
        co_return true;
    }

    void report_log(bool reachable)
    {
        if (log_reachable == reachable)
            return;
        log_reachable = reachable;
        if (reachable)
            core::log_info("log_reachable");
        else
            core::log_warning("log_unreachable");
    }

    bool is_fresh() const
    {
        return protocol->freshness_age(core::clock::now()) < freshness_lease;
    }

    /// Whether this instance has the highest score for a key among the live
    /// members of its region that are fresh enough to write.
    bool is_writer(std::string const& key) const
    {
        auto const own =
            core::rendezvous_score(key, settings.instance.id.value());
        for (auto const& [id, member] : protocol->table().members())
            if (member.live() && core::rendezvous_score(key, id.value()) > own)
                return false;
        return true;
    }

    /// Instances of the own region, which other threads look up.
    struct region_view : boost::intrusive_ref_counter<region_view>
    {
        /// Their ids.
        std::set<core::instance_id> same_region;
    };

    /// Runs everything.
    asio::io_context& context;
    /// Settings of the instance.
    settings::instance_settings const& settings;
    /// The process start.
    core::incarnation incarnation;
    /// What the owner wants to know.
    control_hooks hooks;
    /// Counters of the inner protocol.
    peer::traffic_counters traffic;
    /// The peers' port.
    bound_transports transports;
    /// The replicated state.
    fleet_state state;
    /// The platform's log.
    log_service::log_client log;
    /// Appends own records.
    log_writer writer;
    /// The membership; set by start().
    std::optional<membership::cell_protocol> protocol;
    /// Wakes the next step.
    asio::steady_timer tick_timer;
    /// Instances of the own region.
    core::rcu_cell<region_view> regions;
    /// Parts of a snapshot that is being fetched.
    std::string snapshot_text;
    /// When evidence is sent next.
    core::time_point next_evidence;
    /// When shares are asked for next.
    core::time_point next_shares;
    /// Version of the document that the owner knows.
    std::optional<core::log_offset> published_version;
    /// Whether the last read of the log succeeded.
    std::optional<bool> log_reachable;
    /// Whether the instance may serve.
    bool ready = false;
    /// Whether stop() was called.
    bool stopped = false;
    /// Chooses members.
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
    implementation_->dispatch(out);
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
    auto& parts = *implementation_;
    document::edit_report report;
    report.id = edit.id;
    auto const appended = co_await parts.log.append(document::to_text(edit));
    if (!appended && appended.error() != log_service::append_error::unknown)
    {
        report.result = document::edit_result::rejected;
        report.reason = "the log took no append: " +
                        std::string(to_string(appended.error()));
        co_return report;
    }
    // The decision is known when the record comes back from the log.
    auto const until = core::clock::now() + edit_patience;
    while (core::clock::now() < until && !parts.stopped)
    {
        if (auto const* const outcome = parts.state.find_outcome(edit.id))
            co_return document::report_of(*outcome);
        co_await pause(milliseconds(20));
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

void control_plane::append(ejection_record const& record)
{
    auto& parts = *implementation_;
    std::visit(
        [&](auto const& typed)
        {
            auto const service = typed.service;
            parts.writer.append(document::to_text(to_log_record(typed)),
                                [&parts, service]
                                {
                                    return parts.is_fresh() &&
                                           parts.is_writer(service.value());
                                });
        },
        record);
}

bool control_plane::is_writer(core::service_name const& service) const
{
    return implementation_->is_writer(service.value());
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
    auto const& parts = *implementation_;
    auto const announced = parts.state.announced();
    auto const now = core::clock::now();
    control_status result;
    result.state_offset = announced.state_offset;
    result.known_version = announced.document_version;
    result.ready = parts.ready;
    result.fresh = parts.is_fresh();
    if (auto const age = parts.protocol->freshness_age(now);
        age != membership::freshness_tracker::never)
        result.freshness_age = age;
    result.reader = parts.protocol->reader();
    result.relay = parts.protocol->relay();
    for (auto const& [id, member] : parts.protocol->table().members())
        result.live_members += member.live() ? 1 : 0;
    result.log_disagrees = parts.state.log_disagrees();
    for (auto const& [service, slots] : parts.state.ejections().services())
        result.ejections +=
            static_cast<std::size_t>(std::count_if(slots.begin(),
                                                   slots.end(),
                                                   [](auto const& slot)
                                                   {
                                                       return !slot.is_free();
                                                   }));
    result.waiting_appends = parts.writer.waiting();
    auto const& writes = parts.writer.results();
    result.appended = writes.value(write_result::appended);
    result.failed_appends = writes.value(write_result::failed) +
                            writes.value(write_result::unknown);
    result.dropped_frames = parts.transports.udp->drops().total() +
                            parts.transports.tcp->drops().total();
    result.state_bytes = parts.state.memory_bytes();
    return result;
}

peer::traffic_counters const& control_plane::traffic() const
{
    return implementation_->traffic;
}

} // namespace kumquatloom::control
