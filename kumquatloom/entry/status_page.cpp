#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/status_page.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace kumquatloom::entry
{

namespace
{

boost::json::object list_part(instance_state const& state)
{
    boost::json::object part;
    auto const list = state.instances.read();
    part["read"] = list != nullptr;
    if (!list)
        return part;
    part["entries"] = list->entries.size();
    boost::json::object services;
    for (auto const& [service, upstreams] : list->upstreams)
    {
        std::size_t leaving = 0;
        for (auto const& upstream : upstreams)
            leaving += upstream.leaving ? 1 : 0;
        services[service.value()] = {{"upstreams", upstreams.size()},
                                     {"leaving", leaving}};
    }
    part["services"] = std::move(services);
    return part;
}

} // namespace

std::string status_page(instance_state const& state)
{
    auto const& identity = state.settings.instance;
    auto const document = state.document.read();
    auto const uptime = core::clock::now() - state.started;
    boost::json::object page;
    page["instance"] = identity.id.value();
    page["failure_domain"] = identity.failure_domain.value();
    page["region"] = identity.region.value();
    page["state"] = state.leaving ? "leaving" : "serving";
    page["uptime_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(uptime).count();
    page["callers"] = settings::to_string(state.callers_address());
    page["operators"] = settings::to_string(state.operators_address());
    page["document_version"] = document ? document->version : 0;
    page["caller_connections"] = state.caller_connections.load();
    page["requests_in_flight"] = state.requests_in_flight.load();
    page["buffered_answers_bytes"] = state.buffered_answers.used();
    page["requests_received"] =
        state.events.value(entry_event::request_received);
    page["requests_completed"] =
        state.events.value(entry_event::request_completed);
    page["refusals"] = state.reasons.total();
    page["instance_list"] = list_part(state);
    return boost::json::serialize(page) + '\n';
}

} // namespace kumquatloom::entry
