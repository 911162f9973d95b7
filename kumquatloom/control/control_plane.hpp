#ifndef KUMQUATLOOM_CONTROL_CONTROL_PLANE_HPP
#define KUMQUATLOOM_CONTROL_CONTROL_PLANE_HPP

#include <kumquatloom/control/control_hooks.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/edit_record.hpp>
#include <kumquatloom/document/edit_report.hpp>
#include <kumquatloom/membership/listed_instance.hpp>
#include <kumquatloom/peer/traffic_counters.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace kumquatloom::control
{

struct control_status;

/// Connects an instance with the fleet: follows the log or its peers, takes
/// part in the membership of its cell, exchanges evidence and shares, and
/// writes ejections and snapshots. Runs on the owner's control thread.
class control_plane
{
public:
    /// A record that the instance may write by itself.
    using ejection_record =
        std::variant<health::eject_record, health::readmit_record>;

    /// Binds the peers' port. The context must be run by one thread and
    /// outlive the object. Throws if the port cannot be bound.
    control_plane(boost::asio::io_context& context,
                  settings::instance_settings const& settings,
                  core::incarnation incarnation,
                  control_hooks hooks);
    ~control_plane();
    control_plane(control_plane const&) = delete;
    control_plane& operator=(control_plane const&) = delete;

    /// Starts all activities. The callers' address is what peers hand out.
    void start(settings::endpoint const& callers_address);

    /// Takes in the entry instances of the platform's list.
    void apply_list(std::vector<membership::listed_instance> entries);

    /// Tells everybody that this instance is leaving.
    void begin_leaving();

    /// Ends all activities.
    void stop();

    /// The peers' address in use.
    settings::endpoint peers_address() const;

    /// Appends an operator's edit and waits until it is reduced.
    boost::asio::awaitable<document::edit_report>
    append_edit(document::edit_record const& edit);

    /// The document, or one part of it, as JSON text; empty if there is none.
    std::string document_text(std::string_view part) const;

    /// Tells the cell that an upstream is leaving.
    void announce_upstream_leaving(core::service_name const& service,
                                   core::upstream_id const& upstream);

    /// Appends an ejection or a readmission, as the service's writer.
    void append_ejection(ejection_record const& record);

    /// Whether this instance is the member of its cell that writes the
    /// ejections of a service.
    bool is_writer(core::service_name const& service) const;

    /// Failure domains with live members of the cell.
    unsigned cell_domains() const;

    /// Whether the state is younger than the freshness lease.
    bool is_fresh() const;

    /// Figures for the status and metrics pages.
    control_status status() const;

    /// Counters of the inner protocol.
    peer::traffic_counters const& traffic() const;

private:
    class implementation;

    /// Keeps the transports out of the header.
    std::unique_ptr<implementation> implementation_;
};

} // namespace kumquatloom::control

#endif
