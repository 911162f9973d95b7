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

/// Connects an instance to the fleet: replicates the state from the log or from
/// peers, runs the membership protocol of its cell, exchanges health evidence
/// and rate limit shares, and writes ejections and snapshots. Runs on the
/// owner's control thread.
class control_plane
{
public:
    /// An ejection or readmission that the instance appends to the log.
    using ejection_record =
        std::variant<health::eject_record, health::readmit_record>;

    /// Binds the peer port. The context must be run by one thread and outlive
    /// the object. Throws if the port cannot be bound.
    control_plane(boost::asio::io_context& context,
                  settings::instance_settings const& settings,
                  core::incarnation incarnation,
                  control_hooks hooks);
    ~control_plane();
    control_plane(control_plane const&) = delete;
    control_plane& operator=(control_plane const&) = delete;

    /// Starts the protocol. Peers return `callers_address` to callers that
    /// request the list of entry instances.
    void start(settings::endpoint const& callers_address);

    /// Updates the membership from the platform's list of entry instances.
    void apply_list(std::vector<membership::listed_instance> entries);

    /// Announces to all peers that this instance is leaving.
    void begin_leaving();

    /// Stops the protocol and closes the transports.
    void stop();

    /// The bound peer address.
    settings::endpoint peers_address() const;

    /// Appends an operator's edit and waits until it has been read back from
    /// the log and reduced, or until a timeout.
    boost::asio::awaitable<document::edit_report>
    append_edit(document::edit_record const& edit);

    /// The document, or one part of it, as JSON text; empty if there is none.
    std::string document_text(std::string_view part) const;

    /// Announces to the members of the cell that an upstream is leaving.
    void announce_upstream_leaving(core::service_name const& service,
                                   core::upstream_id const& upstream);

    /// Queues an ejection or a readmission for the log. It is written only
    /// while this instance is fresh and the elected writer of the service.
    void append_ejection(ejection_record const& record);

    /// Whether this instance is the elected writer of a service's ejections in
    /// its cell.
    bool is_writer(core::service_name const& service) const;

    /// Number of failure domains with live members of the cell, including the
    /// domain of this instance.
    unsigned cell_domains() const;

    /// Whether the state is younger than the freshness lease.
    bool is_fresh() const;

    /// Current values for the status and metrics pages.
    control_status status() const;

    /// Byte and frame counters of the peer protocol.
    peer::traffic_counters const& traffic() const;

private:
    class implementation;

    /// Keeps the transports and protocols out of this header.
    std::unique_ptr<implementation> implementation_;
};

} // namespace kumquatloom::control

#endif
