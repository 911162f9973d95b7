#include <kumquatloom/entry/evidence_payload.hpp>
#include <kumquatloom/entry/fleet_link.hpp>
#include <kumquatloom/entry/fleet_snapshot.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/service_manager.hpp>
#include <kumquatloom/entry/service_state.hpp>
#include <kumquatloom/entry/share_payload.hpp>
#include <kumquatloom/health/ejection_view.hpp>
#include <kumquatloom/peer/payload.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::entry
{

fleet_link::fleet_link(asio::io_context& context,
                       instance_state& state,
                       service_manager& services,
                       publish_document publish)
    : state_(state)
    , services_(services)
    , publish_(std::move(publish))
    , plane_(context, state.settings, state.incarnation, make_hooks())
{
    state_.peers_port = plane_.peers_address().port;
}

void fleet_link::start()
{
    plane_.start(state_.callers_address());
}

void fleet_link::apply_instance_list()
{
    auto const list = state_.instance_list.read();
    std::vector<membership::listed_instance> entries;
    for (auto const& entry : list->list.entries)
    {
        if (entry.id == state_.settings.instance.id)
            continue;
        settings::endpoint const callers{entry.host, entry.port};
        entries.push_back({entry.id,
                           entry.domain,
                           entry.region,
                           to_string(callers),
                           {entry.host, entry.peer_port},
                           entry.leaving});
    }
    plane_.apply_list(std::move(entries));
}

void fleet_link::tick(core::time_point now)
{
    propose_ejections(now);
    announce_leaving_upstreams();
}

control::control_hooks fleet_link::make_hooks()
{
    control::control_hooks hooks;
    hooks.document_activated = [this](auto document)
    {
        publish_(std::move(document));
    };
    hooks.readiness_changed = [this](bool ready)
    {
        state_.ready = ready;
    };
    hooks.instances_updated = [this](auto instances)
    {
        boost::intrusive_ptr<fleet_snapshot> snapshot(new fleet_snapshot);
        snapshot->instances = std::move(instances);
        state_.fleet.publish(std::move(snapshot));
    };
    hooks.ejections_updated = [this](auto const& ledger, auto fresh_as_of)
    {
        ejections_updated(ledger, fresh_as_of);
    };
    hooks.evidence_due = [this](core::time_point now)
    {
        return evidence_due(now);
    };
    hooks.evidence_received =
        [this](std::string_view payload, core::time_point now)
    {
        evidence_received(payload, now);
    };
    hooks.upstream_leaving = [this](auto const& service, auto const& upstream)
    {
        upstream_leaving(service, upstream);
    };
    hooks.share_requests_due = [this](core::time_point now)
    {
        return share_requests_due(now);
    };
    hooks.share_requested =
        [this](std::string_view payload, core::time_point now)
    {
        return share_requested(payload, now);
    };
    hooks.share_granted = [this](std::string_view payload, core::time_point now)
    {
        share_granted(payload, now);
    };
    return hooks;
}

void fleet_link::ejections_updated(health::ejection_ledger const& ledger,
                                   std::optional<core::time_point> fresh_as_of)
{
    ledger_ = &ledger;
    auto const now = core::clock::now();
    auto const document = state_.document.read();
    if (!document)
        return;
    for (auto const& [name, settings] : document->services)
    {
        // Ejections beyond the budget of the active document are ignored.
        auto slots = ledger.slots(name);
        slots.resize(
            std::min<std::size_t>(slots.size(), settings.ejection_budget()));
        // If the state never was fresh, the lease counts as expired.
        services_.apply_ejections(
            name,
            std::move(slots),
            fresh_as_of.value_or(now - health::ejection_lease),
            now);
    }
}

std::vector<std::string> fleet_link::evidence_due(core::time_point now)
{
    std::vector<std::string> payloads;
    auto const services = state_.services.read();
    if (!services)
        return payloads;
    for (auto const& [name, service] : services->services)
    {
        auto* const monitor = services_.monitor(name);
        if (monitor == nullptr)
            continue;
        evidence_payload payload{monitor->export_evidence(now)};
        if (!payload.message.entries.empty())
            payloads.push_back(peer::encode_payload(payload));
    }
    return payloads;
}

void fleet_link::evidence_received(std::string_view payload,
                                   core::time_point now)
{
    auto const evidence = peer::decode_payload<evidence_payload>(payload);
    if (!evidence)
        return;
    if (auto* const monitor = services_.monitor(evidence->message.service))
        monitor->merge(evidence->message, now);
}

void fleet_link::upstream_leaving(core::service_name const& service,
                                  core::upstream_id const& upstream)
{
    announced_.insert(upstream);
    auto const services = state_.services.read();
    if (!services)
        return;
    auto const found = services->services.find(service);
    if (found == services->services.end())
        return;
    auto const table = found->second->picker.table();
    if (auto const object = table ? table->find(upstream) : nullptr)
        object->mark_leaving();
}

std::vector<std::string> fleet_link::share_requests_due(core::time_point now)
{
    std::vector<std::string> payloads;
    for (auto const& request : state_.rates.make_requests(now))
        payloads.push_back(
            peer::encode_payload(share_request_payload{request}));
    return payloads;
}

std::optional<std::string> fleet_link::share_requested(std::string_view payload,
                                                       core::time_point now)
{
    auto const request = peer::decode_payload<share_request_payload>(payload);
    auto const document = state_.document.read();
    if (!request || !document)
        return std::nullopt;
    auto const grant =
        state_.rates.handle_request(request->message, *document, now);
    if (!grant)
        return std::nullopt;
    return peer::encode_payload(share_grant_payload{*grant});
}

void fleet_link::share_granted(std::string_view payload, core::time_point now)
{
    if (auto const grant = peer::decode_payload<share_grant_payload>(payload))
        state_.rates.handle_grant(grant->message, now);
}

void fleet_link::propose_ejections(core::time_point now)
{
    auto const document = state_.document.read();
    auto const services = state_.services.read();
    if (!document || !services || ledger_ == nullptr)
        return;
    for (auto const& [name, settings] : document->services)
    {
        auto const* const monitor = services_.monitor(name);
        auto const found = services->services.find(name);
        if (monitor == nullptr || found == services->services.end())
            continue;
        auto const table = found->second->picker.table();
        if (!table)
            continue;
        auto const live = table->live();
        auto const record_id = core::to_hex(core::random_bytes(8));
        health::proposal_context const context{ledger_->slots(name),
                                               settings.ejection_budget(),
                                               plane_.is_writer(name),
                                               plane_.is_fresh(),
                                               plane_.cell_domains(),
                                               live,
                                               record_id};
        auto& proposer = proposers_.try_emplace(name, name).first->second;
        if (auto const record = proposer.propose(*monitor, context, now))
            plane_.append_ejection(*record);
    }
}

void fleet_link::announce_leaving_upstreams()
{
    auto const services = state_.services.read();
    if (!services)
        return;
    for (auto const& [name, service] : services->services)
        if (auto const table = service->picker.table())
            for (auto const& entry : table->entries())
            {
                auto const& id = entry.object->endpoint().id;
                if (entry.object->is_leaving() && announced_.insert(id).second)
                    plane_.announce_upstream_leaving(name, id);
            }
}

} // namespace kumquatloom::entry
