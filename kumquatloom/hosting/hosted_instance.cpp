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
#include <kumquatloom/hosting/neighbour_messenger.hpp>
#include <kumquatloom/hosting/replica_changes.hpp>
#include <kumquatloom/hosting/replica_paths.hpp>
#include <kumquatloom/hosting/replica_snapshot.hpp>
#include <kumquatloom/hosting/replica_updater.hpp>
#include <kumquatloom/limits/stop_schedule.hpp>
#include <kumquatloom/membership/start_schedule_settings.hpp>

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

/// Interval of the periodic tasks in tick().
constexpr std::chrono::milliseconds tick_interval{25};
/// Interval between periodic evaluations of upstream health. Evidence of a
/// failure is evaluated at once.
constexpr std::chrono::milliseconds health_interval{100};
/// Interval between sweeps of idle connections, and the idle timeout, which a
/// shorter keep-alive timeout of the upstream overrides. The idle timeout is
/// below the common server timeout of 10 seconds, so that the upstream does not
/// close a connection first.
constexpr std::chrono::milliseconds idle_sweep_interval{1000};
constexpr std::chrono::seconds idle_timeout{8};
/// Time for which a draining instance still accepts connections, for callers
/// that have not yet learned that it is leaving.
constexpr std::chrono::milliseconds drain_accept_time{1000};
/// Maximum connections from an instance to an upstream: the number that an
/// upstream accepts, about 390, divided among 48 instances.
constexpr std::size_t connections_per_upstream = 8;
/// Time allowed for the replies to hello messages, after the list of instances
/// was read: one round trip and one scheduling delay of a loaded instance.
constexpr std::chrono::milliseconds hello_reply_time{40};
/// Delay before another attempt to access the list of instances.
constexpr std::chrono::milliseconds announce_retry_delay{500};
/// Interval between hello messages to the seeds while there are no contents.
constexpr std::chrono::milliseconds greeting_interval{1000};
/// Percentage of the retry budget that is used. The platform counts the budget
/// in time windows that are not aligned with those of this instance.
constexpr unsigned retry_budget_use_percent = 85;
/// Percentage of the mean service time that a request's remaining time must
/// cover to be admitted. Service times vary so widely that one request in five
/// takes less.
constexpr unsigned min_time_percent = 40;
/// Size of the tables for tickets and rate limit shares, neither of which is
/// used here; must be a power of two.
constexpr std::size_t unused_table_size = 16;
/// Limits for requests until a configuration states its own.
constexpr std::size_t max_header_bytes = 64 * 1024;
constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;
/// Shares of the memory limit for buffered responses and requests. The rest is
/// for the state of the instance and of idle connections.
constexpr std::size_t answers_memory_percent = 25;
constexpr std::size_t requests_memory_percent = 55;

settings::instance_settings make_instance_settings(hosted_settings const& given)
{
    settings::instance_settings result;
    result.instance = {given.id, given.domain, given.region};
    result.listen = {
        given.listen.callers, given.listen.operators, given.listen.neighbours};
    result.callers.header_limit_bytes = max_header_bytes;
    result.callers.body_limit_bytes = max_body_bytes;
    result.callers.connections = caller_connections(given);
    result.callers.min_body_rate = given.min_body_rate;
    result.callers.memory_wait = given.memory_wait;
    result.operators.connections = port_connections(given);
    result.callers.entries_ttl = std::chrono::milliseconds::zero();
    result.upstreams.connections_per_upstream = connections_per_upstream;
    result.memory.buffered_answers_bytes =
        given.memory_bytes * answers_memory_percent / 100;
    result.memory.buffered_requests_bytes =
        given.memory_bytes * requests_memory_percent / 100;
    result.threads = 1;
    return result;
}

entry::service_policy make_service_policy(hosted_settings const& given)
{
    using namespace std::chrono_literals;
    entry::service_policy policy;
    policy.budget.percent_of_requests =
        given.retry_percent * retry_budget_use_percent / 100;
    policy.budget.min_retries_per_s = 0;
    // All instances may use their bursts at the same time, so each burst is
    // a single retry.
    policy.budget.burst = 1;
    policy.hedging.min_delay = 300ms;
    policy.latency.initial_estimate = 1500ms;
    policy.admission.service_time_percent = min_time_percent;
    policy.balancing = routing::balancing_policy::least_used;
    policy.adaptive_concurrency = false;
    policy.short_time_limit = given.short_time_limit;
    policy.max_idle_non_idempotent = 4000ms;
    policy.tickets = {unused_table_size, {unused_table_size, 0, 0}};
    policy.shares.shares = unused_table_size;
    return policy;
}

/// Whether a store that returns this error may serve reads nevertheless.
bool is_refusal(log_service::append_error error)
{
    return error == log_service::append_error::rate_limited ||
           error == log_service::append_error::refused;
}

/// The quotas of the organisations that have one.
std::vector<limits::quota_limit> quota_limits(document::document const& source)
{
    std::vector<limits::quota_limit> result;
    for (auto const& [name, organisation] : source.organisations)
        if (organisation.rate_per_s > 0)
            result.push_back({limits::quota_key(name.value()),
                              static_cast<float>(organisation.rate_per_s),
                              static_cast<float>(organisation.burst)});
    return result;
}

} // namespace

/// All members of the instance. They are defined here because many of them
/// depend on Asio, which the header hides.
class hosted_instance::implementation
{
public:
    implementation(hosted_settings given,
                   any_store store_client,
                   request::wire_dialect const& dialect,
                   page_settings platform_pages)
        : settings(std::move(given))
        , store(std::move(store_client))
        , page_config(std::move(platform_pages))
        , state(make_instance_settings(settings),
                core::new_incarnation(),
                dialect,
                make_service_policy(settings))
        , service_manager(state)
        , handler(context, state, connections_per_upstream)
        , callers(
              context, state, handler, to_tcp_endpoint(settings.listen.callers))
        , drain(
              context,
              state,
              drain_accept_time,
              [this]
              {
                  messenger.send_now();
              },
              [this]
              {
                  finish_requests();
              })
        , operators(
              context, state, drain, to_tcp_endpoint(settings.listen.operators))
        , tracker(settings.avoidance_floor)
        , read_schedule(membership::read_schedule_settings::for_change_delay(
              settings.max_change_delay))
        , quotas(settings.quota,
                 {limits::quota_key(settings.listen.neighbours.host),
                  limits::quota_key(settings.domain.value()),
                  state.incarnation},
                 core::clock::now())
        , levels(max_level_services)
        , replica(
              store.parse,
              {read_schedule.max_read_gap()},
              [this](routing::entry_fault fault)
              {
                  state.ignored_entries.increment(fault);
              },
              store.redact)
        , messenger(
              context,
              {settings.listen.neighbours,
               settings.domain,
               settings.region_domains,
               state.incarnation},
              tracker,
              quotas,
              settings.admission_level ? &levels : nullptr,
              {[this](neighbour_message& message)
               {
                   replica.fill_message(message, core::clock::now());
                   message.ready = state.ready;
                   message.leaving = state.leaving;
               },
               [this](std::string const& host, neighbour_message const& message)
               {
                   if (is_own_region(message.domain) ||
                       updater.needs_other_regions(core::clock::now()))
                       updater.apply_message(host, message);
               }})
        , updater(context,
                  replica,
                  store,
                  messenger.neighbours(),
                  state.replica_updates,
                  settings.listen.neighbours.port,
                  read_schedule,
                  {[this](store_replica::change const& change)
                   {
                       publish_change(change);
                   },
                   [this](std::vector<std::string> const& hosts)
                   {
                       for (auto const& host : hosts)
                           messenger.add_instance(host);
                   },
                   [this]
                   {
                       messenger.send_now();
                   }})
        , snapshot_server(context,
                          to_tcp_endpoint(settings.listen.neighbours),
                          port_connections(settings),
                          count_displaced(),
                          [this](std::string_view target)
                          {
                              return serve_contents(target);
                          })
        , timer(context)
        , start_timer(context)
        , signals(context, SIGTERM, SIGINT, SIGHUP)
    {
        state.ready = false;
        state.quotas = &quotas;
        if (settings.admission_level)
            state.levels = &levels;
        if (settings.strict_revocation)
            state.gate.revocations().limit_age(settings.max_revocation_delay);
        state.callers_port = callers.address().port();
        state.operators_port = operators.address().port();
        state.attempt_ended = [this](routing::upstream const& target,
                                     health::attempt_report const& report)
        {
            tracker.record_attempt(target, report, core::clock::now());
            if (tracker.has_urgent_evidence())
                messenger.send_now();
        };
        state.upstream_left = [this](routing::upstream const& target)
        {
            messenger.report_departure(target);
        };
        readiness_server = make_page_server(settings.listen.readiness);
        directory_server = make_page_server(settings.listen.directory);
    }

    /// Counts the connections to a port that were closed to make room.
    std::function<void()> count_displaced()
    {
        return [this]
        {
            state.events.increment(entry::entry_event::port_displaced);
        };
    }

    /// Serves the platform's pages on an address, if it is configured.
    std::unique_ptr<entry::page_server>
    make_page_server(std::optional<settings::endpoint> const& address)
    {
        if (!address)
            return nullptr;
        return std::make_unique<entry::page_server>(
            context,
            to_tcp_endpoint(*address),
            port_connections(settings),
            count_displaced(),
            [this](std::string_view target)
            {
                return serve_page(target);
            });
    }

    /// Starts all tasks and returns when the instance has stopped.
    void run()
    {
        messenger.start();
        asio::co_spawn(context, operators.run(), asio::detached);
        asio::co_spawn(context, snapshot_server.run(), asio::detached);
        for (auto* const server :
             {readiness_server.get(), directory_server.get()})
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

    /// Adds this instance to the store's list of instances, reads the list, and
    /// sends hello messages to the others. Reads the list even if the store
    /// refuses to add to it, since the list determines which instance reads the
    /// contents.
    asio::awaitable<void> join()
    {
        announced_instance const self{settings.domain,
                                      settings.listen.neighbours.host};
        asio::steady_timer join_timer(context);
        bool announced = false;
        bool has_list = false;
        while (true)
        {
            auto const began = core::clock::now();
            bool answered = true;
            if (!announced)
            {
                auto const result = co_await store.announce(self);
                announced = result.has_value();
                answered = announced || is_refusal(result.error());
                if (!announced)
                    core::log_warning("announcement_failed",
                                      {{"error", to_string(result.error())}});
            }
            // Read the list only now: an instance that adds itself later finds
            // this one in the list and contacts it.
            if (answered)
                has_list = co_await read_list(began);
            if (announced && has_list)
                break;
            join_timer.expires_after(announce_retry_delay);
            co_await join_timer.async_wait(entry::as_result);
        }
        quotas.mark_sources_complete();
    }

    /// Reads the list of instances; returns whether that succeeded.
    asio::awaitable<bool> read_list(core::time_point began)
    {
        auto const instances = co_await store.announced_instances();
        if (instances)
            apply_list(instances.value(), began);
        else
            core::log_warning("instances_unknown",
                              {{"error", to_string(instances.error())}});
        co_return instances.has_value();
    }

    /// Adds listed instances. The call before the one that returned the list
    /// began at `began`.
    void apply_list(std::vector<announced_instance> const& instances,
                    core::time_point began)
    {
        auto const now = core::clock::now();
        for (auto const& other : instances)
            messenger.add_instance(other);
        core::log_info("instances_listed", {{"count", instances.size()}});
        updater.record_list(now - began, now);
        if (instances_listed_at)
            return;
        instances_listed_at = now;
        // The first read may be due before the next tick.
        start_timer.expires_after(
            membership::start_schedule_settings{}.reply_time);
        start_timer.async_wait(
            [this](entry::error_code error)
            {
                if (!error && !state.leaving)
                    updater.tick(core::clock::now());
            });
    }

    /// Sends hello messages to the seeds until there are contents: a seed may
    /// start at the same time, or a message may be lost.
    void greet_seeds(core::time_point now)
    {
        if (replica.as_of() || now < next_greeting)
            return;
        next_greeting = now + greeting_interval;
        for (auto const& seed : settings.seeds)
            messenger.send_hello(seed);
    }

    /// Runs the periodic tasks until the instance stops.
    asio::awaitable<void> tick()
    {
        auto next_health_update = core::clock::now();
        auto next_sweep = next_health_update;
        while (true)
        {
            auto const now = core::clock::now();
            greet_seeds(now);
            messenger.tick(now);
            accept_callers(now);
            update_readiness();
            if (replica.as_of())
                state.listing_as_of =
                    replica.as_of()->time_since_epoch().count();
            update_revocations(now);
            if (!state.leaving)
                updater.tick(now);
            if (now >= next_health_update)
            {
                tracker.update_standings(now);
                next_health_update = now + health_interval;
            }
            if (now >= next_sweep)
            {
                handler.sweep(now - idle_timeout);
                if (service_manager.drop_retired())
                    track_upstreams(now);
                log_quota_sources();
                configure_health_estimates();
                next_sweep = now + idle_sweep_interval;
            }
            core::flush_log();
            answer_last_requests(now);
            if (should_stop(now))
                break;
            timer.expires_after(tick_interval);
            co_await timer.async_wait(entry::as_result);
        }
        context.stop();
    }

    /// Logs when the counts of many instances stop or resume to arrive, which
    /// reduces what this instance admits of each quota.
    void log_quota_sources()
    {
        constexpr double sufficient_fraction = 0.9;
        constexpr double percent = 100;
        bool const is_partial =
            quotas.is_enabled() &&
            quotas.observed_fraction() < sufficient_fraction;
        if (is_partial == quota_sources_partial)
            return;
        quota_sources_partial = is_partial;
        auto const write = is_partial ? core::log_warning : core::log_info;
        write(is_partial ? "quota_sources_silent" : "quota_sources_observed",
              {{"observed_percent",
                static_cast<std::uint64_t>(quotas.observed_fraction() *
                                           percent)}});
    }

    /// Starts accepting callers once a configuration is in force and neighbours
    /// have had time to report which upstreams to avoid, or when the configured
    /// maximum delay has passed. Connections wait in the kernel's backlog until
    /// then.
    void accept_callers(core::time_point now)
    {
        bool const hello_time_passed =
            instances_listed_at &&
            now - *instances_listed_at >= hello_reply_time;
        bool const can_serve = replica.document() && hello_time_passed;
        if (accepting ||
            (!can_serve && now - state.started < settings.max_start_delay))
            return;
        accepting = true;
        core::log_info("accepting_callers",
                       {{"document", replica.document() != nullptr},
                        {"acquainted", hello_time_passed}});
        asio::co_spawn(context, callers.run(), asio::detached);
        update_readiness();
    }

    /// Marks the instance as ready once it has a configuration and accepts
    /// callers, unless a read of the store may return a newer one.
    void update_readiness()
    {
        if (state.ready || !accepting || !replica.document() ||
            !updater.may_serve(core::clock::now()))
            return;
        state.ready = true;
        core::log_info("ready",
                       {{"document", replica.document()->version},
                        {"upstreams", replica.upstreams().listing().size()}});
        messenger.send_now();
    }

    /// Tells the request path how recent the configuration is. Logs when
    /// requests with a credential are no longer served, or served again.
    void update_revocations(core::time_point now)
    {
        if (!replica.document() || !replica.as_of())
            return;
        auto& revocations = state.gate.revocations();
        revocations.confirm(*replica.as_of());
        bool const refuses = !revocations.permits_credentials(now);
        if (refuses == refuses_credentials)
            return;
        refuses_credentials = refuses;
        if (refuses)
            core::log_warning(
                "document_unconfirmed",
                {{"version", replica.document()->version},
                 {"max_age_ms", settings.max_revocation_delay.count()}});
        else
            core::log_info("document_confirmed",
                           {{"version", replica.document()->version}});
    }

    /// Publishes a change of the configuration or of the upstreams to the
    /// request path.
    void publish_change(store_replica::change const& change)
    {
        auto const now = core::clock::now();
        auto const& document = replica.document();
        if (!document)
            return;
        boost::intrusive_ptr<routing::upstream_listing> listing(
            new routing::upstream_listing);
        listing->upstreams = replica.upstreams().listing();
        state.upstream_listing.publish(std::move(listing));
        if (change.document_changed)
        {
            state.document.publish(document);
            quotas.configure(quota_limits(*document), now);
        }
        service_manager.refresh(now);
        handler.withdraw_from_leaving();
        track_upstreams(now);
        update_revocations(now);
        if (change.document_changed)
            // Publish the gate last: it admits requests to the services updated
            // above.
            state.gate.publish(*document);
        update_readiness();
    }

    /// Uses the estimate settings for failure episodes for the services of
    /// which all requests are cost-aware.
    void configure_health_estimates()
    {
        auto const table = state.services.read();
        if (!table)
            return;
        for (auto const& [name, service] : table->services)
        {
            if (!state.policy.prefers_proven_upstreams ||
                !service->has_cost_aware_requests)
                continue;
            tracker.configure(
                name,
                service->has_standard_requests
                    ? health::health_estimate_settings{}
                    : health::health_estimate_settings::for_failure_episodes());
        }
    }

    /// Updates the tracked upstreams of all services.
    void track_upstreams(core::time_point now)
    {
        auto const table = state.services.read();
        if (!table)
            return;
        std::vector<core::service_name> names;
        for (auto const& [name, service] : table->services)
        {
            names.push_back(name);
            if (auto const upstreams = service->picker.table())
                tracker.track(name, upstreams, now);
        }
        tracker.retain_services(names);
        tracker.update_standings(now);
    }

    /// Serves a page that the platform or a caller requests.
    entry::http_response serve_page(std::string_view target) const
    {
        auto const path = target.substr(0, target.find('?'));
        if (path == page_config.paths.readiness)
            return entry::json_response(is_ready()
                                            ? http::status::ok
                                            : http::status::service_unavailable,
                                        "{}");
        if (path == page_config.paths.directory)
            return serve_directory();
        return entry::json_response(http::status::not_found, "{}");
    }

    /// Serves the list of instances that callers should use.
    entry::http_response serve_directory() const
    {
        std::vector<settings::endpoint> entries;
        std::uint16_t const port = state.callers_port;
        if (is_ready())
            entries.push_back({settings.listen.callers.host, port});
        for (auto const& host :
             messenger.neighbours().serving(core::clock::now()))
            entries.push_back({host, port});
        if (entries.empty())
            return entry::json_response(http::status::service_unavailable,
                                        "{}");
        return entry::json_response(
            http::status::ok,
            page_config.write_directory(entries, settings.directory_ttl));
    }

    /// Whether a failure domain belongs to the region of this instance.
    bool is_own_region(core::failure_domain const& domain) const
    {
        return domain == settings.domain ||
               settings.region_domains.contains(domain);
    }

    /// Whether callers should use this instance.
    bool is_ready() const
    {
        return state.ready && !state.leaving;
    }

    /// Serves the store's contents to a neighbour: a snapshot, or the changes
    /// since the neighbour's position.
    entry::http_response serve_contents(std::string_view target) const
    {
        auto const now = core::clock::now();
        auto const since = parse_changes_target(target);
        if (!replica.has_contents() || (target != snapshot_path && !since))
            return entry::json_response(http::status::service_unavailable,
                                        "{}");
        std::string body;
        if (!since)
        {
            auto snapshot = replica.snapshot(now);
            snapshot.hosts = messenger.neighbours().addresses();
            body = encode(snapshot);
        }
        else if (auto changes = replica.changes_since(*since, now))
            body = encode(*changes);
        else
            return entry::json_response(http::status::gone, "{}");
        auto answer = entry::json_response(http::status::ok, std::move(body));
        answer.set(http::field::content_type, "application/octet-stream");
        return answer;
    }

    /// Handles signals: SIGHUP reloads; SIGTERM and SIGINT start draining or,
    /// if the instance is already leaving, end the wait for advertised
    /// addresses to expire.
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

    /// Starts draining, and the grace period for it.
    void begin_leaving(std::string_view cause)
    {
        if (!state.stop.read())
            state.stop.publish(
                new limits::stop_schedule(core::clock::now(), settings.grace));
        quotas.mark_leaving();
        drain.begin(cause);
    }

    /// Closes the listener and lets the requests in flight complete.
    void finish_requests()
    {
        finishing = true;
        callers.close();
        callers.finish_sessions();
    }

    /// Answers the requests that are still in progress shortly before the end
    /// of the grace period.
    void answer_last_requests(core::time_point now)
    {
        auto const schedule = state.stop.read();
        if (!schedule || requests_stopped || now < schedule->answer_by())
            return;
        requests_stopped = true;
        if (state.requests_in_flight != 0)
            core::log_warning("requests_stopped",
                              {{"requests", state.requests_in_flight.load()}});
        callers.stop_requests();
    }

    /// Whether the process should stop: nothing is in flight, or the grace
    /// period is over.
    bool should_stop(core::time_point now) const
    {
        auto const schedule = state.stop.read();
        if (schedule && now >= schedule->exit_at())
        {
            core::log_warning("stopped_with_requests",
                              {{"requests", state.requests_in_flight.load()}});
            return true;
        }
        return finishing && state.requests_in_flight == 0 &&
               state.caller_connections == 0;
    }

    hosted_settings const settings;
    any_store const store;
    page_settings const page_config;
    /// Called on SIGHUP.
    std::function<void()> reload;
    asio::io_context context{1};
    /// State shared with the request path.
    entry::instance_state state;
    /// Applies configurations and upstream lists to the services.
    entry::service_manager service_manager;
    /// Proxies requests to upstreams.
    entry::proxy_handler handler;
    /// Accepts callers' connections.
    entry::caller_listener callers;
    /// Runs the steps of a graceful shutdown.
    entry::drain_controller drain;
    /// Serves metrics and status to operators.
    entry::operator_server operators;
    /// Load and health of upstreams.
    upstream_tracker tracker;
    /// When instances read the store.
    membership::read_schedule_settings const read_schedule;
    /// Quotas of organisations over the whole fleet.
    limits::quota_table quotas;
    /// Admission levels of the services, used if the settings enable them.
    limits::admission_levels levels;
    /// Local copy of the store's contents.
    store_replica replica;
    /// Exchange with the other instances of the failure domain.
    neighbour_messenger messenger;
    /// Updates the local copy of the store.
    replica_updater updater;
    /// Serves snapshots to neighbours.
    entry::page_server snapshot_server;
    /// Serve the platform's pages if their addresses are configured.
    std::unique_ptr<entry::page_server> readiness_server;
    std::unique_ptr<entry::page_server> directory_server;
    /// Schedules tick().
    asio::steady_timer timer;
    /// Schedules the first read of the store.
    asio::steady_timer start_timer;
    asio::signal_set signals;
    /// Time at which the list of instances was read.
    std::optional<core::time_point> instances_listed_at;
    /// Time of the next hello messages to the seeds.
    core::time_point next_greeting;
    /// Whether the counts of many instances do not arrive.
    bool quota_sources_partial = false;
    /// Whether requests with a credential are refused, because the
    /// configuration may be out of date.
    bool refuses_credentials = false;
    /// Whether callers' connections are accepted.
    bool accepting = false;
    /// Whether the listener is closed and only requests in flight are
    /// completed.
    bool finishing = false;
    /// Whether the last requests in progress have been answered.
    bool requests_stopped = false;
};

hosted_instance::hosted_instance(hosted_settings settings,
                                 any_store store,
                                 request::wire_dialect const& dialect,
                                 page_settings platform_pages)
    : implementation_(
          std::make_unique<implementation>(std::move(settings),
                                           std::move(store),
                                           dialect,
                                           std::move(platform_pages)))
{
    core::configure_log_identity(implementation_->settings.id.value(),
                                 implementation_->state.incarnation);
}

hosted_instance::~hosted_instance() = default;

void hosted_instance::begin_shutdown()
{
    asio::post(implementation_->context,
               [this]
               {
                   implementation_->begin_leaving("program");
               });
}

std::uint16_t hosted_instance::callers_port() const
{
    return implementation_->state.callers_port;
}

std::uint16_t hosted_instance::operators_port() const
{
    return implementation_->state.operators_port;
}

std::uint16_t hosted_instance::readiness_port() const
{
    return implementation_->readiness_server
               ? implementation_->readiness_server->address().port()
               : 0;
}

std::uint16_t hosted_instance::directory_port() const
{
    return implementation_->directory_server
               ? implementation_->directory_server->address().port()
               : 0;
}

void hosted_instance::run(std::function<void()> reload)
{
    implementation_->reload = std::move(reload);
    implementation_->run();
    core::log_info("stopped");
    core::flush_log();
}

} // namespace kumquatloom::hosting
