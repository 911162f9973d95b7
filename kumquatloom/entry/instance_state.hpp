#ifndef KUMQUATLOOM_ENTRY_INSTANCE_STATE_HPP
#define KUMQUATLOOM_ENTRY_INSTANCE_STATE_HPP

#include <kumquatloom/admission/admission_gate.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/core/rcu_cell.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/entry/entry_event.hpp>
#include <kumquatloom/entry/fleet_snapshot.hpp>
#include <kumquatloom/entry/instance_list_snapshot.hpp>
#include <kumquatloom/entry/latency_histogram.hpp>
#include <kumquatloom/entry/memory_budget.hpp>
#include <kumquatloom/entry/rate_limiter.hpp>
#include <kumquatloom/entry/service_policy.hpp>
#include <kumquatloom/entry/service_state.hpp>
#include <kumquatloom/limits/admission_levels.hpp>
#include <kumquatloom/limits/load_shedder.hpp>
#include <kumquatloom/limits/quota_table.hpp>
#include <kumquatloom/limits/stop_schedule.hpp>
#include <kumquatloom/membership/replica_update.hpp>
#include <kumquatloom/request/response_verdict.hpp>
#include <kumquatloom/request/retry_counters.hpp>
#include <kumquatloom/request/ticket_decider.hpp>
#include <kumquatloom/request/ticket_issuer.hpp>
#include <kumquatloom/request/ticket_keys.hpp>
#include <kumquatloom/request/ticket_table.hpp>
#include <kumquatloom/request/wire_dialect.hpp>
#include <kumquatloom/routing/entry_fault.hpp>
#include <kumquatloom/routing/upstream_listing.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace kumquatloom::entry
{

/// State shared by all threads of an instance: immutable snapshots published
/// through RCU, counters and atomics. No member needs a lock.
struct instance_state
{
    /// Starts without a document or an instance list. The incarnation must be
    /// higher than every earlier one of the instance. The dialect must outlive
    /// the state.
    instance_state(
        settings::instance_settings initial_settings,
        core::incarnation process_incarnation,
        request::wire_dialect const& message_dialect = request::default_dialect,
        service_policy const& initial_policy = {});
    ~instance_state();

    /// The bound address for callers.
    settings::endpoint callers_address() const
    {
        return {settings.listen.callers.host, callers_port};
    }

    /// The bound address for peers.
    settings::endpoint peers_address() const
    {
        return {settings.listen.peers.host, peers_port};
    }

    /// The bound address for operators.
    settings::endpoint operators_address() const
    {
        return {settings.listen.operators.host, operators_port};
    }

    /// Whether so many callers' connections are open that further ones are
    /// closed after their response: more than seven eighths of the limit.
    bool has_scarce_connections() const
    {
        constexpr std::size_t spare_divisor = 8;
        auto const limit = settings.callers.connections;
        return caller_connections > limit - limit / spare_divisor;
    }

    settings::instance_settings const settings;
    /// Distinguishes this start of the instance from earlier ones.
    core::incarnation const incarnation;
    /// Header names and verification rules used with callers and upstreams.
    request::wire_dialect const& dialect;
    /// When the instance started.
    core::time_point const started = core::clock::now();
    /// The active document.
    core::rcu_cell<document::document> document;
    /// The last instance list read from the platform.
    core::rcu_cell<instance_list_snapshot> instance_list;
    /// Upstreams from a source other than the platform's instance list; takes
    /// precedence over that list if set.
    core::rcu_cell<routing::upstream_listing> upstream_listing;
    /// Time at which the listing was read, in clock ticks since the epoch; 0 if
    /// it was never read.
    std::atomic<core::duration::rep> listing_as_of{0};
    /// Optional observer, called with the result of each attempt.
    std::function<void(routing::upstream const&, health::attempt_report const&)>
        attempt_ended;
    /// Optional observer, called when an upstream first announces its departure
    /// in a response.
    std::function<void(routing::upstream const&)> upstream_left;
    /// The services of the active document.
    core::rcu_cell<service_table> services;
    /// Membership of the fleet; null for a standalone instance.
    core::rcu_cell<fleet_snapshot> fleet;
    /// Admits or refuses requests, and counts refusals by reason.
    admission::admission_gate gate;
    /// Enforces this instance's shares of the rate limits.
    rate_limiter rates;
    /// Enforces the quotas of organisations over the whole fleet; null if the
    /// instance has none. Only for an instance with one thread.
    limits::quota_table* quotas = nullptr;
    /// Admission levels of the services; null if they are disabled. Only for an
    /// instance with one thread.
    limits::admission_levels* levels = nullptr;
    /// Bounds the number of concurrent requests, by priority.
    limits::load_shedder shedder;
    /// Counters of attempts, retries and outcomes.
    request::retry_counters retry_counters;
    /// Upstream selection, retry and hedging policy.
    service_policy const policy;
    /// Keys that sign and verify tickets.
    request::ticket_keys const ticket_keys;
    /// Issues tickets.
    request::ticket_issuer ticket_issuer;
    /// Used tickets and the stored responses to their requests.
    request::ticket_table ticket_table;
    /// Decides how a request with a ticket is handled.
    request::ticket_decider tickets;
    /// Counts verification results of upstream responses.
    core::counter_family<request::response_verdict> verdicts;
    /// Counts events of the servers and upstream pools.
    core::counter_family<entry_event> events;
    /// Counts ignored entries in the list of upstreams.
    core::counter_family<routing::entry_fault> ignored_entries;
    /// Counts updates of the copy of the store.
    core::counter_family<membership::replica_update> replica_updates;
    /// Bounds the memory for buffered responses of upstreams.
    memory_budget buffered_answers;
    /// Bounds the memory for buffered requests of callers.
    memory_budget buffered_requests;
    /// Time from the end of reading a request to the end of writing its
    /// response.
    latency_histogram request_latency;
    /// Time from the start of an attempt to its result.
    latency_histogram attempt_latency;
    /// Latency that the proxy adds to a request: its total time less the time
    /// from the start of the first attempt to the end of the last.
    latency_histogram added_latency;
    /// Open connections from callers.
    std::atomic<std::size_t> caller_connections{0};
    /// Requests that were received but not answered yet.
    std::atomic<std::size_t> requests_in_flight{0};
    /// Whether the instance is draining, which callers and peers see as
    /// leaving.
    std::atomic<bool> leaving{false};
    /// The planned stop of the instance; null unless it stops.
    core::rcu_cell<limits::stop_schedule> stop;
    /// The bound port for callers.
    std::atomic<std::uint16_t> callers_port{0};
    /// The bound port for operators.
    std::atomic<std::uint16_t> operators_port{0};
    /// The bound port for peers; 0 for a standalone instance.
    std::atomic<std::uint16_t> peers_port{0};
    /// Whether the instance has enough state to serve. A standalone instance
    /// only needs its document.
    std::atomic<bool> ready{true};
};

} // namespace kumquatloom::entry

#endif
