#ifndef KUMQUATLOOM_ENTRY_FLEET_LINK_HPP
#define KUMQUATLOOM_ENTRY_FLEET_LINK_HPP

#include <kumquatloom/control/control_plane.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/health/ejection_proposer.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::entry
{

struct instance_state;
class service_manager;

/// Connects the control plane to the services, rate limits and request path of
/// this instance. Used by the control thread only.
class fleet_link
{
public:
    /// Activates a document.
    using publish_document =
        std::function<void(boost::intrusive_ptr<document::document const>)>;

    /// Binds the peers' port. All references must outlive this object.
    fleet_link(asio::io_context& context,
               instance_state& state,
               service_manager& services,
               publish_document publish);

    /// Starts the control plane and joins the fleet.
    void start();

    /// Passes the current instance list to the control plane.
    void apply_instance_list();

    /// Proposes ejections and announces leaving upstreams to the cell.
    void tick(core::time_point now);

    control::control_plane& plane()
    {
        return plane_;
    }

    control::control_plane const& plane() const
    {
        return plane_;
    }

private:
    control::control_hooks make_hooks();
    void ejections_updated(health::ejection_ledger const& ledger,
                           std::optional<core::time_point> fresh_as_of);
    std::vector<std::string> evidence_due(core::time_point now);
    void evidence_received(std::string_view payload, core::time_point now);
    void upstream_leaving(core::service_name const& service,
                          core::upstream_id const& upstream);
    std::vector<std::string> share_requests_due(core::time_point now);
    std::optional<std::string> share_requested(std::string_view payload,
                                               core::time_point now);
    void share_granted(std::string_view payload, core::time_point now);
    void propose_ejections(core::time_point now);
    void announce_leaving_upstreams();

    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Upstreams and standings of the services.
    service_manager& services_;
    /// Activates a document.
    publish_document publish_;
    /// Ejections recorded in the log; null until they are known.
    health::ejection_ledger const* ledger_ = nullptr;
    /// Ejection proposers by service.
    std::map<core::service_name, health::ejection_proposer> proposers_;
    /// Leaving upstreams that were announced in the cell.
    std::set<core::upstream_id> announced_;
    control::control_plane plane_;
};

} // namespace kumquatloom::entry

#endif
