#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/service_control.hpp>
#include <kumquatloom/health/ejection_view.hpp>
#include <kumquatloom/health/evaluate_standings.hpp>
#include <kumquatloom/health/floor_guard.hpp>

#include <utility>

namespace kumquatloom::entry
{

/// One service as the control thread sees it.
struct service_control::controlled_service
{
    controlled_service(core::service_name const& name,
                       document::service_settings const& given,
                       settings::identity_settings const& self)
        : shared(new service_state(name))
        , settings(given)
        , monitor(
              {name,
               self.id,
               self.failure_domain,
               health::outlier_detector_settings::for_level(given.detection)})
    {
    }

    /// What requests use.
    boost::intrusive_ptr<service_state> shared;
    /// The document's settings of the service.
    document::service_settings settings;
    /// Judges the upstreams.
    health::health_monitor monitor;
    /// Ejections in the log.
    std::vector<health::ejection_slot> slots;
    /// When the instance knew the whole log.
    core::time_point fresh_as_of;
};

service_control::service_control(instance_state& state)
    : state_(state)
{
}

service_control::~service_control() = default;

void service_control::refresh(core::time_point now)
{
    auto const document = state_.document.read();
    if (!document)
        return;
    auto const list = state_.instances.read();
    bool changed =
        std::erase_if(services_,
                      [&](auto const& item)
                      {
                          return !document->services.contains(item.first);
                      }) != 0;
    for (auto const& [name, settings] : document->services)
    {
        changed = changed || !services_.contains(name);
        relist(controlled(name, settings),
               settings,
               list ? &list->list : nullptr,
               now);
    }
    if (changed)
        publish_services();
}

void service_control::tick(core::time_point now)
{
    for (auto const& [name, service] : services_)
    {
        service->monitor.tick(now);
        evaluate(*service, now);
    }
}

void service_control::ejections_changed(
    core::service_name const& service,
    std::vector<health::ejection_slot> slots,
    core::time_point fresh_as_of,
    core::time_point now)
{
    auto const found = services_.find(service);
    if (found == services_.end())
        return;
    found->second->slots = std::move(slots);
    found->second->fresh_as_of = fresh_as_of;
    evaluate(*found->second, now);
}

health::health_monitor*
service_control::monitor(core::service_name const& service)
{
    auto const found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second->monitor;
}

service_control::controlled_service&
service_control::controlled(core::service_name const& name,
                            document::service_settings const& settings)
{
    auto& place = services_[name];
    if (!place)
        place = std::make_unique<controlled_service>(
            name, settings, state_.settings.instance);
    if (place->settings.detection != settings.detection)
        place->monitor.change_detection(
            health::outlier_detector_settings::for_level(settings.detection));
    place->settings = settings;
    return *place;
}

void service_control::publish_services()
{
    boost::intrusive_ptr<service_table> table(new service_table);
    for (auto const& [name, service] : services_)
        table->services.emplace(name, service->shared);
    state_.services.publish(std::move(table));
}

void service_control::relist(controlled_service& service,
                             document::service_settings const& settings,
                             platform::instance_list const* list,
                             core::time_point now)
{
    std::vector<routing::listed_upstream> listed;
    if (list != nullptr)
        for (auto const& item : list->upstreams)
            if (item.service == service.shared->name)
                listed.push_back({{item.id,
                                   item.service,
                                   item.host,
                                   item.port,
                                   item.domain,
                                   item.region,
                                   settings.slots},
                                  item.leaving});
    auto const& self = state_.settings.instance;
    auto const table =
        routing::upstream_table::build(service.shared->picker.table(),
                                       listed,
                                       {self.failure_domain, self.region},
                                       now);
    // Limits of upstreams that stay are kept, with what they have learned.
    auto const known = service.shared->limits.read();
    boost::intrusive_ptr<upstream_limits> limits(new upstream_limits);
    for (auto const& entry : table->entries())
    {
        auto const* const key = entry.object.get();
        auto& limit = limits->by_upstream[key];
        if (known && known->by_upstream.contains(key))
            limit = known->by_upstream.at(key);
        else
            limit = new upstream_limit(settings.slots);
    }
    service.shared->slots = table->live().size() * settings.slots;
    service.shared->limits.publish(std::move(limits));
    service.monitor.track(table->tracked(), now);
    service.shared->picker.publish(table);
}

void service_control::evaluate(controlled_service& service,
                               core::time_point now)
{
    auto const table = service.shared->picker.table();
    if (!table)
        return;
    health::ejection_view const view(service.slots, service.fresh_as_of);
    health::floor_guard const guard(service.settings.floor_upstreams(),
                                    service.settings.ejection_budget());
    table->publish(health::evaluate_standings(
                       service.monitor, view, guard, table->live(), now),
                   view.honoured_until());
}

} // namespace kumquatloom::entry
