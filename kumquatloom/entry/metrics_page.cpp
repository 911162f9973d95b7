#include <kumquatloom/control/control_plane.hpp>
#include <kumquatloom/control/control_status.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/metrics_page.hpp>

namespace kumquatloom::entry
{

void metrics_page::add_gauge(std::string_view name, std::uint64_t value)
{
    add_type_line(name, "gauge");
    text_.append(name).append(" ").append(std::to_string(value)).append("\n");
}

void metrics_page::add(instance_state const& state)
{
    add("kumquatloom_refusals_total", "reason", state.gate.refusals());
    add("kumquatloom_retries_total", "reason", state.retry_counters.retries);
    add("kumquatloom_retries_denied_total",
        "reason",
        state.retry_counters.denied);
    add("kumquatloom_outcomes_total", "outcome", state.retry_counters.outcomes);
    add("kumquatloom_attempts_total", "sent", state.retry_counters.attempts);
    add("kumquatloom_answer_checks_total", "verdict", state.verdicts);
    add("kumquatloom_tickets_total", "action", state.tickets.counters());
    add("kumquatloom_shed_total", "priority", state.shedder.shed());
    add("kumquatloom_events_total", "event", state.events);
    add("kumquatloom_ignored_entries_total", "reason", state.ignored_entries);
    add("kumquatloom_replica_updates_total", "kind", state.replica_updates);
    add_services(state);
    if (state.quotas != nullptr && state.quotas->is_enabled())
        add(*state.quotas);
    add_gauge("kumquatloom_caller_connections", state.caller_connections);
    add_gauge("kumquatloom_requests_in_flight", state.requests_in_flight);
    add_gauge("kumquatloom_buffered_answers_bytes",
              state.buffered_answers.used());
    add_gauge("kumquatloom_buffered_requests_bytes",
              state.buffered_requests.used());
    add_gauge("kumquatloom_leaving", state.leaving ? 1 : 0);
    auto const document = state.document.read();
    add_gauge("kumquatloom_document_version", document ? document->version : 0);
    if (document)
        add_organisations(state, *document);
    state.request_latency.write("kumquatloom_request_seconds", text_);
    state.attempt_latency.write("kumquatloom_attempt_seconds", text_);
    state.added_latency.write("kumquatloom_added_seconds", text_);
}

void metrics_page::add(limits::quota_table const& quotas)
{
    add_gauge("kumquatloom_quota_organisations", quotas.tracked());
    add_counter("kumquatloom_quota_refused_total", quotas.refused());
    add_counter("kumquatloom_quota_returned_total", quotas.returned());
    add_gauge("kumquatloom_quota_oldest_source_ms",
              static_cast<std::uint64_t>(
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      quotas.oldest_source_age(core::clock::now()))
                      .count()));
    constexpr double percent = 100;
    add_gauge("kumquatloom_quota_observed_percent",
              static_cast<std::uint64_t>(quotas.observed_fraction() * percent));
}

void metrics_page::add_counter(std::string_view name, std::uint64_t value)
{
    add_type_line(name, "counter");
    text_.append(name).append(" ").append(std::to_string(value)).append("\n");
}

void metrics_page::add_services(instance_state const& state)
{
    auto const table = state.services.read();
    if (!table)
        return;
    add_type_line("kumquatloom_picks_total", "counter");
    for (auto const& [name, service] : table->services)
        add_values("kumquatloom_picks_total{service=\"" + name.value() +
                       "\",spill",
                   service->picker.picks_by_tier());
    add_type_line("kumquatloom_pick_errors_total", "counter");
    for (auto const& [name, service] : table->services)
        add_values("kumquatloom_pick_errors_total{service=\"" + name.value() +
                       "\",error",
                   service->picker.errors());
    add_type_line("kumquatloom_shortage_refusals_total", "counter");
    for (auto const& [name, service] : table->services)
        for (std::size_t level = 0; level < service->shortage_refusals.size();
             ++level)
        {
            auto const& family = service->shortage_refusals[level];
            // Most services never refuse anything.
            if (family.total() != 0)
                add_values("kumquatloom_shortage_refusals_total{service=\"" +
                               name.value() + "\",priority=\"" +
                               std::string(to_string(
                                   static_cast<limits::priority>(level))) +
                               "\",reason",
                           family);
        }
}

void metrics_page::add_organisations(instance_state const& state,
                                     document::document const& document)
{
    add_gauge("kumquatloom_organisations", document.organisations.size());
    // Faults are those of the configuration in force, not a sum over versions.
    add_type_line("kumquatloom_ignored_organisations", "gauge");
    for (auto const& [fault, ignored] : document.ignored)
        text_.append("kumquatloom_ignored_organisations{reason=\"")
            .append(to_string(fault))
            .append("\"} ")
            .append(std::to_string(ignored.count))
            .append("\n");
    if (auto const table = state.gate.table())
        add_gauge("kumquatloom_ambiguous_credentials",
                  table->organisations().ambiguous_credentials());
}

void metrics_page::add(control::control_plane const& plane)
{
    auto const status = plane.status();
    add_gauge("kumquatloom_ready", status.ready ? 1 : 0);
    add_gauge("kumquatloom_fresh", status.fresh ? 1 : 0);
    add_gauge("kumquatloom_log_reader", status.reader ? 1 : 0);
    add_gauge("kumquatloom_region_relay", status.relay ? 1 : 0);
    add_gauge("kumquatloom_log_disagrees", status.log_disagrees ? 1 : 0);
    add_gauge("kumquatloom_live_members", status.live_members);
    add_gauge("kumquatloom_state_offset", status.state_offset);
    add_gauge("kumquatloom_known_document_version", status.known_version);
    add_gauge("kumquatloom_ejections", status.ejections);
    add_gauge("kumquatloom_appends_waiting", status.waiting_appends);
    add_gauge("kumquatloom_appends_done", status.appended);
    add_gauge("kumquatloom_appends_failed", status.failed_appends);
    add_gauge("kumquatloom_dropped_frames", status.dropped_frames);
    add_gauge("kumquatloom_state_bytes", status.state_bytes);
    add_traffic(plane.traffic());
}

void metrics_page::add_traffic(peer::traffic_counters const& traffic)
{
    using peer::direction;
    using peer::message_kind;
    using peer::peer_scope;
    add_type_line("kumquatloom_peer_bytes_total", "counter");
    for (auto const way : {direction::sent, direction::received})
        for (auto const scope :
             {peer_scope::same_region, peer_scope::other_region})
            for (std::size_t index = 0;
                 index < static_cast<std::size_t>(message_kind::count);
                 ++index)
            {
                auto const kind = static_cast<message_kind>(index);
                text_.append("kumquatloom_peer_bytes_total{kind=\"")
                    .append(to_string(kind))
                    .append("\",direction=\"")
                    .append(to_string(way))
                    .append("\",scope=\"")
                    .append(to_string(scope))
                    .append("\"} ")
                    .append(std::to_string(traffic.bytes(kind, way, scope)))
                    .append("\n");
            }
}

void metrics_page::add_type_line(std::string_view name, std::string_view type)
{
    text_.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

} // namespace kumquatloom::entry
