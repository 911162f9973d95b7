#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/service_manager.hpp>
#include <kumquatloom/health/ejection_limiter.hpp>
#include <kumquatloom/health/ejection_view.hpp>
#include <kumquatloom/health/evaluate_standings.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Placeholder for the number of slots that the document gives for the service.
constexpr unsigned slots_of_service = 0;
/// References to the state of a service without a queue: from the manager and
/// from the published table.
constexpr unsigned references_without_queue = 2;

} // namespace

/// The control thread's state of one service.
struct service_manager::managed_service
{
    managed_service(core::service_name const& name,
                    document::service_settings const& initial_settings,
                    instance_state& state)
        : shared(new service_state(
              name, state.policy, state.retry_counters, core::clock::now()))
        , settings(initial_settings)
        , monitor({name,
                   state.settings.instance.id,
                   state.settings.instance.failure_domain,
                   health::outlier_detector_settings::for_level(
                       initial_settings.detection)})
    {
    }

    /// State shared with the request path.
    boost::intrusive_ptr<service_state> shared;
    /// Settings from the active document.
    document::service_settings settings;
    /// Detects outliers among the upstreams.
    health::health_monitor monitor;
    /// Ejections recorded in the log.
    std::vector<health::ejection_slot> ejection_slots;
    /// When the instance last had the complete log.
    core::time_point fresh_as_of;
};

service_manager::service_manager(instance_state& state)
    : state_(state)
{
}

service_manager::~service_manager() = default;

void service_manager::refresh(core::time_point now)
{
    auto const document = state_.document.read();
    if (!document)
        return;
    auto const all = listed_upstreams();
    for (auto const& [name, service] : services_)
    {
        bool const retired = !document->services.contains(name);
        if (service->shared->retired.exchange(retired) != retired)
            core::log_info(retired ? "service_retired" : "service_returned",
                           {{"service", name.value()},
                            {"document", document->version},
                            {"waiting", service->shared->waiting.load()}});
    }
    bool changed = erase_retired();
    for (auto const& [name, settings] : document->services)
    {
        changed = changed || !services_.contains(name);
        find_or_add(name, settings);
    }
    // Requests of a retired service still wait for its upstreams, which may
    // leave meanwhile.
    for (auto const& [name, service] : services_)
        update_upstreams(*service, all, now);
    if (changed)
        publish_services();
}

bool service_manager::drop_retired()
{
    bool const dropped = erase_retired();
    if (dropped)
        publish_services();
    return dropped;
}

void service_manager::tick(core::time_point now)
{
    drop_retired();
    for (auto const& [name, service] : services_)
    {
        service->monitor.tick(now);
        evaluate(*service, now);
    }
}

void service_manager::apply_ejections(core::service_name const& service,
                                      std::vector<health::ejection_slot> slots,
                                      core::time_point fresh_as_of,
                                      core::time_point now)
{
    auto const found = services_.find(service);
    if (found == services_.end())
        return;
    found->second->ejection_slots = std::move(slots);
    found->second->fresh_as_of = fresh_as_of;
    evaluate(*found->second, now);
}

health::health_monitor*
service_manager::monitor(core::service_name const& service)
{
    auto const found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second->monitor;
}

void service_manager::find_or_add(core::service_name const& name,
                                  document::service_settings const& settings)
{
    auto& service = services_[name];
    if (!service)
        service = std::make_unique<managed_service>(name, settings, state_);
    if (service->settings.detection != settings.detection)
        service->monitor.change_detection(
            health::outlier_detector_settings::for_level(settings.detection));
    service->settings = settings;
}

bool service_manager::erase_retired()
{
    return std::erase_if(services_,
                         [](auto const& item)
                         {
                             auto const& service = *item.second->shared;
                             return service.retired &&
                                    service.use_count() <=
                                        references_without_queue;
                         }) != 0;
}

void service_manager::publish_services()
{
    boost::intrusive_ptr<service_table> table(new service_table);
    for (auto const& [name, service] : services_)
        table->services.emplace(name, service->shared);
    state_.services.publish(std::move(table));
}

std::vector<routing::listed_upstream> service_manager::listed_upstreams() const
{
    if (auto const listing = state_.upstream_listing.read())
        return listing->upstreams;
    std::vector<routing::listed_upstream> all;
    if (auto const list = state_.instance_list.read())
        for (auto const& item : list->list.upstreams)
            all.push_back({{item.id,
                            item.service,
                            item.host,
                            item.port,
                            item.domain,
                            item.region,
                            slots_of_service},
                           item.leaving,
                           std::nullopt});
    return all;
}

void service_manager::update_upstreams(
    managed_service& service,
    std::vector<routing::listed_upstream> const& all,
    core::time_point now)
{
    auto const& settings = service.settings;
    std::vector<routing::listed_upstream> listed;
    std::size_t total_slots = 0;
    for (auto const& item : all)
    {
        if (item.endpoint.service != service.shared->name)
            continue;
        listed.push_back(item);
        if (item.endpoint.slots == slots_of_service)
            listed.back().endpoint.slots = settings.slots;
        if (!item.leaving)
            total_slots += listed.back().endpoint.slots;
    }
    auto const& self = state_.settings.instance;
    auto const table =
        routing::upstream_table::build(service.shared->picker.table(),
                                       listed,
                                       {self.failure_domain, self.region},
                                       now);
    // Requests beyond the number of connections wait in the queue of the
    // service, where another upstream may become free, and not for a connection
    // to one upstream.
    auto const connections = static_cast<unsigned>(
        state_.settings.upstreams.connections_per_upstream);
    // Upstreams that remain keep their adapted concurrency limits.
    auto const previous_limits = service.shared->limits.read();
    boost::intrusive_ptr<upstream_limits> limits(new upstream_limits);
    for (auto const& entry : table->entries())
    {
        auto const* const key = entry.object.get();
        if (!state_.policy.adaptive_concurrency)
        {
            entry.object->limit_concurrency(
                std::min(entry.object->endpoint().slots, connections));
            continue;
        }
        auto& limit = limits->by_upstream[key];
        if (previous_limits && previous_limits->by_upstream.contains(key))
        {
            limit = previous_limits->by_upstream.at(key);
            continue;
        }
        limit = new upstream_limit(std::min(settings.slots, connections));
        entry.object->limit_concurrency(limit->concurrency.limit());
    }
    service.shared->slots = total_slots;
    service.shared->limits.publish(std::move(limits));
    service.monitor.track(table->tracked(), now);
    service.shared->picker.publish(table);
}

void service_manager::evaluate(managed_service& service, core::time_point now)
{
    auto const table = service.shared->picker.table();
    if (!table)
        return;
    health::ejection_view const view(service.ejection_slots,
                                     service.fresh_as_of);
    health::ejection_limiter const limiter(service.settings.floor_upstreams(),
                                           service.settings.ejection_budget());
    table->publish(health::evaluate_standings(
                       service.monitor, view, limiter, table->live(), now),
                   view.lease_expiry());
}

} // namespace kumquatloom::entry
