#ifndef KUMQUATLOOM_ENTRY_SERVICE_MANAGER_HPP
#define KUMQUATLOOM_ENTRY_SERVICE_MANAGER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/entry/service_state.hpp>
#include <kumquatloom/health/ejection_slot.hpp>
#include <kumquatloom/health/health_monitor.hpp>
#include <kumquatloom/routing/upstream_endpoint.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <map>
#include <memory>
#include <vector>

namespace kumquatloom::entry
{

struct instance_state;

/// Maintains the services of the instance: their upstreams from the listing or
/// the instance list, and the standing of each upstream from health evidence.
/// Used by the control thread only.
class service_manager
{
public:
    explicit service_manager(instance_state& state);
    ~service_manager();

    /// Applies the active document and the current upstream list.
    void refresh(core::time_point now);

    /// Drops the services that the document has dropped and that have no more
    /// requests. Returns whether there were any.
    bool drop_retired();

    /// Evaluates the health evidence; called every
    /// health_monitor::tick_interval.
    void tick(core::time_point now);

    /// Applies the ejections of a service. Once the ejection lease from
    /// `fresh_as_of` has expired, ejected upstreams are only avoided.
    void apply_ejections(core::service_name const& service,
                         std::vector<health::ejection_slot> slots,
                         core::time_point fresh_as_of,
                         core::time_point now);

    /// The health monitor of a service; null if the service is unknown.
    health::health_monitor* monitor(core::service_name const& service);

private:
    struct managed_service;

    void find_or_add(core::service_name const& name,
                     document::service_settings const& settings);
    bool erase_retired();
    void publish_services();
    std::vector<routing::listed_upstream> listed_upstreams() const;
    void update_upstreams(managed_service& service,
                          std::vector<routing::listed_upstream> const& all,
                          core::time_point now);
    void evaluate(managed_service& service, core::time_point now);

    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Services of the active document, and those of earlier ones that still
    /// have requests.
    std::map<core::service_name, std::unique_ptr<managed_service>> services_;
};

} // namespace kumquatloom::entry

#endif
