#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/core/new_incarnation.hpp>
#include <kumquatloom/entry/caller_listener.hpp>
#include <kumquatloom/entry/drain_controller.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/entry/operator_server.hpp>
#include <kumquatloom/entry/page_server.hpp>
#include <kumquatloom/entry/proxy_handler.hpp>
#include <kumquatloom/entry/service_manager.hpp>
#include <kumquatloom/entry/tcp_endpoint.hpp>
#include <kumquatloom/hosting/hosted_instance.hpp>
#include <kumquatloom/hosting/neighbour_gossip.hpp>
#include <kumquatloom/hosting/replica_snapshot.hpp>
#include <kumquatloom/hosting/replica_updater.hpp>
#include <kumquatloom/hosting/snapshot_path.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <optional>
#include <utility>

namespace kumquatloom::hosting
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using entry::to_tcp_endpoint;

/// Time between two looks at everything that changes with time.
constexpr std::chrono::milliseconds tick_interval{25};
/// Time between two evaluations of the sickness of upstreams; bad news are
/// evaluated at once.
constexpr std::chrono::milliseconds decide_interval{100};
/// Time between two sweeps of idle connections, and the time that one may be
/// idle if its upstream does not say: less than the usual ten seconds.
constexpr std::chrono::milliseconds sweep_interval{1000};
constexpr std::chrono::seconds idle_limit{8};
/// Time for which a leaving instance still accepts connections of callers
/// that have not yet learned of it.
constexpr std::chrono::milliseconds accept_while_leaving{1000};
/// Part of the grace that is left when the process ends by itself.
constexpr std::chrono::milliseconds exit_margin{300};
/// Connections from one instance to one upstream: what an upstream accepts,
/// about 390, divided among 48 instances.
constexpr std::size_t connections_per_upstream = 8;
/// Time after the list of instances is known in which neighbours' answers to
/// the greeting arrive: the way there and back, and a turn of a loaded
/// instance.
constexpr std::chrono::milliseconds acquaintance_time{40};
/// Pause between two attempts to announce this instance.
constexpr std::chrono::milliseconds announce_pause{1000};
/// Part of the retry budget that is used, in hundredths: the windows in which
/// it is counted are not those of this instance.
constexpr unsigned budget_use_percent = 85;
/// Part of the mean service time that a request needs at least, in hundredths:
/// service times are spread so widely that one in five takes less.
constexpr unsigned service_time_percent = 40;
/// Places of tables for tickets and shares of limits, which callers here have
/// none of; a power of two.
constexpr std::size_t unused_places = 16;
/// Bounds of requests before the configuration states its own.
constexpr std::size_t max_header_bytes = 64 * 1024;
constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;
/// Descriptors for everything but callers' connections.
constexpr std::size_t reserved_descriptors = 1000;

settings::instance_settings to_instance(hosted_settings const& given)
{
    settings::instance_settings result;
    result.instance = {given.id, given.domain, given.region};
    result.listen = {
        given.listen.callers, given.listen.operators, given.listen.neighbours};
    result.callers.header_limit_bytes = max_header_bytes;
    result.callers.body_limit_bytes = max_body_bytes;
    result.callers.connections =
        given.descriptors -
        std::min(given.descriptors / 2, reserved_descriptors);
    result.callers.entries_ttl = std::chrono::milliseconds::zero();
    result.upstreams.connections_per_upstream = connections_per_upstream;
    result.memory.buffered_answers_bytes = given.memory_bytes / 4;
    result.threads = 1;
    return result;
}

entry::service_policy to_policy(hosted_settings const& given)
{
    using namespace std::chrono_literals;
    entry::service_policy policy;
    policy.budget.percent_of_requests =
        given.retry_percent * budget_use_percent / 100;
    policy.budget.min_retries_per_s = 0;
    // Every instance may use its burst at the same time.
    policy.budget.burst = 1;
    policy.hedging.min_delay = 300ms;
    policy.latency.initial_estimate = 1500ms;
    policy.admission.service_time_percent = service_time_percent;
    policy.balancing = routing::balancing_policy::least_used;
    policy.adaptive_concurrency = false;
    policy.max_idle_non_idempotent = 4000ms;
    policy.tickets = {unused_places, {unused_places, 0, 0}};
    policy.shares.shares = unused_places;
    return policy;
}

} // namespace

/// Everything that an instance owns.
class hosted_instance::parts
{
public:
    parts(hosted_settings given,
          any_store calls,
          request::wire_dialect const& dialect,
          page_settings environment_pages)
        : settings(std::move(given))
        , store(std::move(calls))
        , look(std::move(environment_pages))
        , state(to_instance(settings),
                core::new_incarnation(),
                dialect,
                to_policy(settings))
        , control(state)
        , handler(context, state, connections_per_upstream)
        , callers(
              context, state, handler, to_tcp_endpoint(settings.listen.callers))
        , drain(
              context,
              state,
              accept_while_leaving,
              [this]
              {
                  near.send_now();
              },
              [this]
              {
                  finish();
              })
        , operators(
              context, state, drain, to_tcp_endpoint(settings.listen.operators))
        , board(settings.avoidance_floor)
        , view(store.parse)
        , near(
              context,
              {settings.listen.neighbours,
               settings.domain,
               settings.region_domains,
               state.incarnation},
              board,
              {[this](neighbour_message& message)
               {
                   view.describe(message, core::clock::now());
                   message.ready = state.ready;
                   message.leaving = state.leaving;
               },
               [this](std::string const& host, neighbour_message const& message)
               {
                   reader.learned(host, message);
               }})
        , reader(
              context,
              view,
              store,
              settings.listen.neighbours.port,
              membership::read_schedule_settings::for_change_delay(
                  settings.max_change_delay),
              [this](store_replica::change const& change)
              {
                  changed(change);
              },
              [this](std::vector<std::string> const& hosts)
              {
                  for (auto const& host : hosts)
                      near.learn(host);
              })
        , snapshots(context,
                    to_tcp_endpoint(settings.listen.neighbours),
                    [this](std::string_view target)
                    {
                        return snapshot_page(target);
                    })
        , timer(context)
        , signals(context, SIGTERM, SIGINT, SIGHUP)
    {
        state.ready = false;
        state.callers_port = callers.address().port();
        state.operators_port = operators.address().port();
        state.attempt_ended = [this](routing::upstream const& target,
                                     health::attempt_report const& report)
        {
            board.record(target, report, core::clock::now());
            if (board.has_bad_news())
                near.send_now();
        };
        readiness = page_at(settings.listen.readiness);
        directory = page_at(settings.listen.directory);
    }

    /// Serves the environment's pages on an address, if there is one.
    std::unique_ptr<entry::page_server>
    page_at(std::optional<settings::endpoint> const& address)
    {
        if (!address)
            return nullptr;
        return std::make_unique<entry::page_server>(
            context,
            to_tcp_endpoint(*address),
            [this](std::string_view target)
            {
                return store_page(target);
            });
    }

    /// Starts everything and returns when the instance has left.
    void run()
    {
        near.start();
        asio::co_spawn(context, operators.run(), asio::detached);
        asio::co_spawn(context, snapshots.run(), asio::detached);
        for (auto* const server : {readiness.get(), directory.get()})
            if (server != nullptr)
                asio::co_spawn(context, server->run(), asio::detached);
        asio::co_spawn(context, join(), asio::detached);
        asio::co_spawn(context, tick(), asio::detached);
        wait_for_signal();
        core::log_info("started",
                       {{"callers", to_string(settings.listen.callers)},
                        {"neighbours", to_string(settings.listen.neighbours)},
                        {"store", to_string(settings.store)},
                        {"domain", settings.domain.value()},
                        {"region", settings.region.value()}});
        context.run();
    }

    /// Makes this instance known and learns of the others.
    asio::awaitable<void> join()
    {
        for (auto const& seed : settings.seeds)
            near.greet(seed);
        announced_instance const self{settings.domain,
                                      settings.listen.neighbours.host};
        asio::steady_timer pause(context);
        while (true)
        {
            auto const result = co_await store.announce(self);
            if (result)
                break;
            core::log_warning("announcement_failed",
                              {{"error", to_string(result.error())}});
            pause.expires_after(announce_pause);
            co_await pause.async_wait(entry::as_result);
        }
        // Whoever announces itself later sees this instance in the list.
        while (true)
        {
            auto const instances = co_await store.announced_instances();
            if (instances)
            {
                for (auto const& other : instances.value())
                    near.learn(other);
                core::log_info("instances_listed",
                               {{"count", instances.value().size()}});
                listed_at = core::clock::now();
                co_return;
            }
            core::log_warning("instances_unknown",
                              {{"error", to_string(instances.error())}});
            pause.expires_after(announce_pause);
            co_await pause.async_wait(entry::as_result);
        }
    }

    /// Does what time brings, again and again.
    asio::awaitable<void> tick()
    {
        auto next_decision = core::clock::now();
        auto next_sweep = next_decision;
        while (true)
        {
            auto const now = core::clock::now();
            near.tick(now);
            accept_callers(now);
            if (view.as_of())
                state.listing_as_of = view.as_of()->time_since_epoch().count();
            if (!state.leaving)
                reader.tick(near.table().place(now), now);
            if (now >= next_decision)
            {
                board.decide(now);
                next_decision = now + decide_interval;
            }
            if (now >= next_sweep)
            {
                handler.close_idle(now - idle_limit);
                next_sweep = now + sweep_interval;
            }
            core::flush_log();
            if (finished(now))
                break;
            timer.expires_after(tick_interval);
            co_await timer.async_wait(entry::as_result);
        }
        context.stop();
    }

    /// Begins to accept callers as soon as their requests can be served: when
    /// the configuration is known, and which upstreams the neighbours avoid.
    /// Until then connections wait in the kernel, for a bounded time.
    void accept_callers(core::time_point now)
    {
        bool const is_acquainted =
            listed_at && now - *listed_at >= acquaintance_time;
        bool const can_serve = view.document() && is_acquainted;
        if (accepting ||
            (!can_serve && now - state.started < settings.max_start_delay))
            return;
        accepting = true;
        core::log_info("accepting_callers",
                       {{"document", view.document() != nullptr},
                        {"acquainted", is_acquainted}});
        asio::co_spawn(context, callers.run(), asio::detached);
        update_readiness();
    }

    /// Makes the instance ready as soon as it knows enough and accepts callers.
    void update_readiness()
    {
        if (state.ready || !accepting || !view.document() || !view.as_of())
            return;
        state.ready = true;
        core::log_info("ready",
                       {{"document", view.document()->version},
                        {"upstreams", view.upstreams().listing().size()}});
        near.send_now();
    }

    /// Takes over what has changed in the environment.
    void changed(store_replica::change const& change)
    {
        auto const now = core::clock::now();
        auto const& document = view.document();
        if (!document)
            return;
        boost::intrusive_ptr<routing::upstream_listing> listing(
            new routing::upstream_listing);
        listing->upstreams = view.upstreams().listing();
        state.listing.publish(std::move(listing));
        if (change.document)
            state.document.publish(document);
        control.refresh(now);
        track(now);
        if (change.document)
            // The gate comes last: it admits requests to the services above.
            state.gate.publish(*document);
        update_readiness();
    }

    /// Watches the upstreams of all services.
    void track(core::time_point now)
    {
        auto const table = state.services.read();
        if (!table)
            return;
        std::vector<core::service_name> names;
        for (auto const& [name, service] : table->services)
        {
            names.push_back(name);
            if (auto const upstreams = service->picker.table())
                board.track(name, upstreams, now);
        }
        board.keep(names);
        board.decide(now);
    }

    /// A page that the environment or callers ask for.
    entry::http_response store_page(std::string_view target) const
    {
        auto const path = target.substr(0, target.find('?'));
        if (path == look.paths.readiness)
            return entry::json_response(is_ready()
                                            ? http::status::ok
                                            : http::status::service_unavailable,
                                        "{}");
        if (path == look.paths.directory)
            return directory_page();
        return entry::json_response(http::status::not_found, "{}");
    }

    /// The instances that callers should use.
    entry::http_response directory_page() const
    {
        std::vector<settings::endpoint> entries;
        std::uint16_t const port = state.callers_port;
        if (is_ready())
            entries.push_back({settings.listen.callers.host, port});
        for (auto const& host : near.table().serving(core::clock::now()))
            entries.push_back({host, port});
        if (entries.empty())
            return entry::json_response(http::status::service_unavailable,
                                        "{}");
        return entry::json_response(
            http::status::ok,
            look.write_directory(entries, settings.directory_ttl));
    }

    /// Whether callers may be sent here.
    bool is_ready() const
    {
        return state.ready && !state.leaving;
    }

    /// Everything that this instance knows, for a neighbour.
    entry::http_response snapshot_page(std::string_view target) const
    {
        if (target != snapshot_path || !view.document())
            return entry::json_response(http::status::service_unavailable,
                                        "{}");
        auto snapshot = view.snapshot(core::clock::now());
        snapshot.hosts = near.table().addresses();
        auto answer = entry::json_response(http::status::ok, encode(snapshot));
        answer.set(http::field::content_type, "application/octet-stream");
        return answer;
    }

    /// Waits for the next signal.
    void wait_for_signal()
    {
        signals.async_wait(
            [this](entry::error_code error, int number)
            {
                if (error)
                    return;
                if (number == SIGHUP)
                    reload();
                else if (state.leaving)
                    drain.end_wait();
                else
                    begin_leaving("signal");
                wait_for_signal();
            });
    }

    /// Begins to leave.
    void begin_leaving(std::string_view cause)
    {
        stop_at = core::clock::now() + settings.grace - exit_margin;
        drain.begin(cause);
    }

    /// Lets running requests end.
    void finish()
    {
        finishing = true;
        callers.close();
        callers.finish_sessions();
    }

    /// Whether nothing is left to do, or no time to do it.
    bool finished(core::time_point now) const
    {
        if (stop_at && now >= *stop_at)
        {
            core::log_warning("stopped_with_requests",
                              {{"requests", state.requests_in_flight.load()}});
            return true;
        }
        return finishing && state.requests_in_flight == 0 &&
               state.caller_connections == 0;
    }

    /// Who and where the instance is.
    hosted_settings const settings;
    /// The environment's store.
    any_store const store;
    /// The environment's pages.
    page_settings const look;
    /// Called at SIGHUP.
    std::function<void()> reload;
    /// Runs everything.
    asio::io_context context{1};
    /// What requests use.
    entry::instance_state state;
    /// Keeps the services up to date.
    entry::service_manager control;
    /// Answers requests.
    entry::proxy_handler handler;
    /// Accepts callers.
    entry::caller_listener callers;
    /// Lets the instance leave.
    entry::drain_controller drain;
    /// Metrics and state.
    entry::operator_server operators;
    /// Load and sickness of upstreams.
    upstream_tracker board;
    /// What is known of the environment.
    store_replica view;
    /// The instances of the failure domain.
    neighbour_gossip near;
    /// Keeps the view up to date.
    replica_updater reader;
    /// Serves snapshots to neighbours.
    entry::page_server snapshots;
    /// Serve the environment's pages, if they have addresses.
    std::unique_ptr<entry::page_server> readiness;
    std::unique_ptr<entry::page_server> directory;
    /// Paces tick().
    asio::steady_timer timer;
    /// Signals to the process.
    asio::signal_set signals;
    /// When the list of instances was read.
    std::optional<core::time_point> listed_at;
    /// Whether callers' connections are accepted.
    bool accepting = false;
    /// Whether only running requests are completed.
    bool finishing = false;
    /// When the process ends even with running requests.
    std::optional<core::time_point> stop_at;
};

hosted_instance::hosted_instance(hosted_settings settings,
                                 any_store store,
                                 request::wire_dialect const& dialect,
                                 page_settings environment_pages)
    : parts_(std::make_unique<parts>(std::move(settings),
                                     std::move(store),
                                     dialect,
                                     std::move(environment_pages)))
{
    core::configure_log_identity(parts_->settings.id.value(),
                                 parts_->state.incarnation);
}

hosted_instance::~hosted_instance() = default;

void hosted_instance::begin_shutdown()
{
    asio::post(parts_->context,
               [this]
               {
                   parts_->begin_leaving("program");
               });
}

std::uint16_t hosted_instance::callers_port() const
{
    return parts_->state.callers_port;
}

std::uint16_t hosted_instance::readiness_port() const
{
    return parts_->readiness ? parts_->readiness->address().port() : 0;
}

std::uint16_t hosted_instance::directory_port() const
{
    return parts_->directory ? parts_->directory->address().port() : 0;
}

void hosted_instance::run(std::function<void()> reload)
{
    parts_->reload = std::move(reload);
    parts_->run();
    core::log_info("stopped");
    core::flush_log();
}

} // namespace kumquatloom::hosting
