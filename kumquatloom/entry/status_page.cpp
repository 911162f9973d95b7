#include <kumquatloom/control/control_plane.hpp>
#include <kumquatloom/control/control_status.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/status_page.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <map>
#include <string>

namespace kumquatloom::entry
{

namespace
{

boost::json::object list_part(instance_state const& state)
{
    boost::json::object part;
    auto const list = state.instance_list.read();
    part["read"] = list != nullptr;
    if (!list)
        return part;
    part["entries"] = list->list.entries.size();
    part["upstreams"] = list->list.upstreams.size();
    return part;
}

/// Number of upstreams by standing and of waiting requests, for each service.
boost::json::object services_part(instance_state const& state,
                                  core::time_point now)
{
    boost::json::object part;
    auto const services = state.services.read();
    if (!services)
        return part;
    for (auto const& [name, service] : services->services)
    {
        std::map<std::string, unsigned> standings;
        auto const table = service->picker.table();
        for (auto const& entry : table->entries())
            ++standings[std::string(to_string(entry.object->standing(now)))];
        boost::json::object numbers;
        for (auto const& [standing, count] : standings)
            numbers[standing] = count;
        numbers["waiting"] = service->waiting.load();
        part[name.value()] = std::move(numbers);
    }
    return part;
}

/// Status of the control plane.
boost::json::object fleet_part(control::control_status const& status)
{
    boost::json::object part{{"state_offset", status.state_offset},
                             {"known_document_version", status.known_version},
                             {"ready", status.ready},
                             {"fresh", status.fresh},
                             {"log_reader", status.reader},
                             {"region_relay", status.relay},
                             {"live_members", status.live_members},
                             {"log_disagrees", status.log_disagrees},
                             {"ejections", status.ejections},
                             {"appends_waiting", status.waiting_appends},
                             {"dropped_frames", status.dropped_frames},
                             {"state_bytes", status.state_bytes}};
    if (status.freshness_age)
        part["freshness_age_ms"] = status.freshness_age->count();
    return part;
}

} // namespace

std::string status_page(instance_state const& state,
                        control::control_plane const* plane)
{
    auto const& identity = state.settings.instance;
    auto const document = state.document.read();
    auto const uptime = core::clock::now() - state.started;
    boost::json::object page;
    page["instance"] = identity.id.value();
    page["failure_domain"] = identity.failure_domain.value();
    page["region"] = identity.region.value();
    page["state"] = state.leaving ? "leaving"
                    : state.ready ? "serving"
                                  : "starting";
    page["uptime_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(uptime).count();
    page["callers"] = settings::to_string(state.callers_address());
    page["operators"] = settings::to_string(state.operators_address());
    page["document_version"] = document ? document->version : 0;
    page["caller_connections"] = state.caller_connections.load();
    page["requests_in_flight"] = state.requests_in_flight.load();
    page["buffered_answers_bytes"] = state.buffered_answers.used();
    page["buffered_requests_bytes"] = state.buffered_requests.used();
    page["requests_received"] =
        state.events.value(entry_event::request_received);
    auto const& outcomes = state.retry_counters.outcomes;
    page["requests_completed"] = outcomes.value(request::outcome::completed);
    page["requests_not_run"] = outcomes.value(request::outcome::not_run);
    page["requests_unknown"] = outcomes.value(request::outcome::unknown);
    page["refusals"] = state.gate.refusals().total();
    page["instance_list"] = list_part(state);
    page["services"] = services_part(state, core::clock::now());
    if (plane != nullptr)
        page["fleet"] = fleet_part(plane->status());
    return boost::json::serialize(page) + '\n';
}

} // namespace kumquatloom::entry
