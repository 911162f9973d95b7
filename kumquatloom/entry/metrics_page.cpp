#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/metrics_page.hpp>

namespace kumquatloom::entry
{

void metrics_page::add_gauge(std::string_view name, std::uint64_t value)
{
    type(name, "gauge");
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
    add_services(state);
    add_gauge("kumquatloom_caller_connections", state.caller_connections);
    add_gauge("kumquatloom_requests_in_flight", state.requests_in_flight);
    add_gauge("kumquatloom_buffered_answers_bytes",
              state.buffered_answers.used());
    add_gauge("kumquatloom_leaving", state.leaving ? 1 : 0);
    auto const document = state.document.read();
    add_gauge("kumquatloom_document_version", document ? document->version : 0);
    state.request_latency.write("kumquatloom_request_seconds", text_);
    state.attempt_latency.write("kumquatloom_attempt_seconds", text_);
    state.added_latency.write("kumquatloom_added_seconds", text_);
}

void metrics_page::add_services(instance_state const& state)
{
    auto const table = state.services.read();
    if (!table)
        return;
    type("kumquatloom_picks_total", "counter");
    for (auto const& [name, service] : table->services)
        add_values("kumquatloom_picks_total{service=\"" + name.value() +
                       "\",spill",
                   service->picker.spills());
    type("kumquatloom_pick_errors_total", "counter");
    for (auto const& [name, service] : table->services)
        add_values("kumquatloom_pick_errors_total{service=\"" + name.value() +
                       "\",error",
                   service->picker.errors());
}

void metrics_page::type(std::string_view name, std::string_view type)
{
    text_.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

} // namespace kumquatloom::entry
