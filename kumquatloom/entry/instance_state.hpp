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
#include <kumquatloom/limits/load_shedder.hpp>
#include <kumquatloom/request/response_verdict.hpp>
#include <kumquatloom/request/retry_counters.hpp>
#include <kumquatloom/request/ticket_decider.hpp>
#include <kumquatloom/request/ticket_issuer.hpp>
#include <kumquatloom/request/ticket_keys.hpp>
#include <kumquatloom/request/ticket_table.hpp>
#include <kumquatloom/request/wire_dialect.hpp>
#include <kumquatloom/routing/upstream_listing.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace kumquatloom::entry
{

/// What all threads of the instance share: immutable views behind RCU,
/// counters and atomics. No member needs a lock.
struct instance_state
{
    /// Starts with the settings and without a document or a list. The
    /// incarnation must be higher than every earlier one of the instance. The
    /// dialect must outlive the state.
    instance_state(
        settings::instance_settings given,
        core::incarnation start_number,
        request::wire_dialect const& spoken = request::default_dialect,
        service_policy const& given_policy = {});
    ~instance_state();

    /// The callers' address in use.
    settings::endpoint callers_address() const
    {
        return {settings.listen.callers.host, callers_port};
    }

    /// The peers' address in use.
    settings::endpoint peers_address() const
    {
        return {settings.listen.peers.host, peers_port};
    }

    /// The operators' address in use.
    settings::endpoint operators_address() const
    {
        return {settings.listen.operators.host, operators_port};
    }

    /// The settings of the instance.
    settings::instance_settings const settings;
    /// Distinguishes this start of the instance from earlier ones.
    core::incarnation const incarnation;
    /// How callers and upstreams mark their messages.
    request::wire_dialect const& dialect;
    /// When the instance started.
    core::time_point const started = core::clock::now();
    /// The document in force.
    core::rcu_cell<document::document> document;
    /// The last reading of the platform's list.
    core::rcu_cell<published_list> instances;
    /// Upstreams from another source than the platform's list; replaces the
    /// list if there is one.
    core::rcu_cell<routing::upstream_listing> listing;
    /// When the listing was read, in ticks of the clock; 0 if it never was.
    std::atomic<core::duration::rep> listing_as_of{0};
    /// Told how each attempt ended, if anybody wants to know.
    std::function<void(routing::upstream const&, health::attempt_report const&)>
        attempt_ended;
    /// The services of the document.
    core::rcu_cell<service_table> services;
    /// The fleet's instances; null outside of a fleet.
    core::rcu_cell<fleet_view> fleet;
    /// Decides which requests are served, and counts refusals.
    admission::admission_gate gate;
    /// Shares of the rate limits.
    rate_limiter rates;
    /// Bounds the requests in the instance.
    limits::load_shedder shedder;
    /// Counters about attempts.
    request::retry_counters retry_counters;
    /// How requests are retried and hedged.
    service_policy const policy;
    /// Sign and verify tickets.
    request::ticket_keys const ticket_keys;
    /// Issues tickets.
    request::ticket_issuer ticket_issuer;
    /// Which tickets were used, and the answers to them.
    request::ticket_table ticket_table;
    /// Decides who runs a request with a ticket.
    request::ticket_decider tickets;
    /// What the verification of answers found.
    core::counter_family<request::response_verdict> verdicts;
    /// Everything else that is counted.
    core::counter_family<entry_event> events;
    /// Bytes of buffered answers.
    memory_account buffered_answers;
    /// From the end of reading a request to the end of writing its answer.
    latency_histogram request_latency;
    /// From the start of an attempt to its result.
    latency_histogram attempt_latency;
    /// Latency of a completed request without that of its attempts.
    latency_histogram added_latency;
    /// Callers' connections that are open.
    std::atomic<std::size_t> caller_connections{0};
    /// Requests that were received and not yet answered.
    std::atomic<std::size_t> requests_in_flight{0};
    /// Whether the instance is leaving.
    std::atomic<bool> leaving{false};
    /// The callers' port in use.
    std::atomic<std::uint16_t> callers_port{0};
    /// The operators' port in use.
    std::atomic<std::uint16_t> operators_port{0};
    /// The peers' port in use; 0 outside of a fleet.
    std::atomic<std::uint16_t> peers_port{0};
    /// Whether the instance knows enough to serve. Outside of a fleet the
    /// document that it was given is enough.
    std::atomic<bool> ready{true};
};

} // namespace kumquatloom::entry

#endif
