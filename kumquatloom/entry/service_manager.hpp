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

/// Keeps the services of the instance up to date: their upstreams from the
/// list, and the standing of each from evidence. Belongs to the control
/// thread.
class service_manager
{
public:
    /// Starts without a service.
    explicit service_manager(instance_state& state);
    ~service_manager();

    /// Takes over the document in force and the present list.
    void refresh(core::time_point now);

    /// Evaluates the evidence; called every health_monitor::tick_interval.
    void tick(core::time_point now);

    /// Takes over the ejections of a service, as far as this instance may
    /// honour them.
    void ejections_changed(core::service_name const& service,
                           std::vector<health::ejection_slot> slots,
                           core::time_point fresh_as_of,
                           core::time_point now);

    /// The monitor of a service, or null.
    health::health_monitor* monitor(core::service_name const& service);

private:
    struct controlled_service;

    controlled_service& controlled(core::service_name const& name,
                                   document::service_settings const& settings);
    void publish_services();
    std::vector<routing::listed_upstream> all_upstreams() const;
    void relist(controlled_service& service,
                document::service_settings const& settings,
                std::vector<routing::listed_upstream> const& all,
                core::time_point now);
    void evaluate(controlled_service& service, core::time_point now);

    /// What all threads share.
    instance_state& state_;
    /// Services of the document.
    std::map<core::service_name, std::unique_ptr<controlled_service>> services_;
};

} // namespace kumquatloom::entry

#endif
