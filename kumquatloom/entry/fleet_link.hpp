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

/// Connects the control plane with the services, the limits and the request
/// path of this instance. Belongs to the control thread.
class fleet_link
{
public:
    /// Puts a document in force.
    using publish_document =
        std::function<void(boost::intrusive_ptr<document::document const>)>;

    /// Binds the peers' port. All references must outlive the link.
    fleet_link(asio::io_context& context,
               instance_state& state,
               service_manager& services,
               publish_document publish);

    /// Joins the fleet.
    void start();

    /// Takes over a new reading of the platform's list.
    void list_read();

    /// Proposes ejections, and tells the cell about leaving upstreams.
    void tick(core::time_point now);

    /// The control plane.
    control::control_plane& plane()
    {
        return plane_;
    }

    /// The control plane.
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
    void propose(core::time_point now);
    void announce_leaving_upstreams();

    /// What all threads share.
    instance_state& state_;
    /// The services of the document.
    service_manager& services_;
    /// Puts a document in force.
    publish_document publish_;
    /// The ejections in the log.
    health::ejection_ledger const* ledger_ = nullptr;
    /// Proposes ejections, by service.
    std::map<core::service_name, health::ejection_proposer> proposers_;
    /// Upstreams that the cell was told are leaving.
    std::set<core::upstream_id> announced_;
    /// The control plane.
    control::control_plane plane_;
};

} // namespace kumquatloom::entry

#endif
