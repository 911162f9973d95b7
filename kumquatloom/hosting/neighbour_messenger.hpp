#ifndef KUMQUATLOOM_HOSTING_NEIGHBOUR_MESSENGER_HPP
#define KUMQUATLOOM_HOSTING_NEIGHBOUR_MESSENGER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/announced_instance.hpp>
#include <kumquatloom/hosting/departure_log.hpp>
#include <kumquatloom/hosting/domain_relay.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/neighbour_socket.hpp>
#include <kumquatloom/hosting/remote_load_table.hpp>
#include <kumquatloom/hosting/upstream_tracker.hpp>
#include <kumquatloom/limits/admission_levels.hpp>
#include <kumquatloom/limits/quota_table.hpp>
#include <kumquatloom/membership/neighbour_table.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace kumquatloom::hosting
{

/// Exchanges heartbeats, load and health evidence with the other instances of
/// the failure domain, called neighbours here, and reports of domain totals
/// with other failure domains. Not thread-safe.
class neighbour_messenger
{
public:
    /// Identity of this instance.
    struct identity
    {
        /// Address of the UDP socket. All instances use the same port.
        settings::endpoint address;
        core::failure_domain domain;
        /// Failure domains of the own region.
        std::set<core::failure_domain> region_domains;
        /// Identifies the process start.
        core::incarnation incarnation = 0;
    };

    /// Callbacks for the parts of a message that this class does not handle
    /// itself.
    struct hooks
    {
        /// Fills in the state of this instance's copy of the store and whether
        /// it serves callers.
        std::function<void(neighbour_message&)> fill_message;
        /// Called for each accepted message of an instance.
        std::function<void(std::string const& host, neighbour_message const&)>
            message_accepted;
    };

    /// Binds to the address. Throws on failure. `tracker`, `quotas` and
    /// `levels` must outlive this object. `levels` is null if admission levels
    /// are disabled.
    neighbour_messenger(boost::asio::io_context& context,
                        identity self,
                        upstream_tracker& tracker,
                        limits::quota_table& quotas,
                        limits::admission_levels* levels,
                        hooks callbacks);

    /// Starts receiving.
    void start();

    /// Stops receiving.
    void stop();

    /// Adds the address of a possible neighbour. Sends it a hello message if it
    /// is new.
    void add_instance(std::string const& host);

    /// Adds an instance of this or another failure domain.
    void add_instance(announced_instance const& instance);

    /// Sends a hello message, which requests a message in return.
    void send_hello(settings::endpoint const& seed);

    /// Expires neighbours and their load, and sends the messages and domain
    /// reports that are due.
    void tick(core::time_point now);

    /// Sends a message to all neighbours.
    void send_now();

    /// Tells the neighbours that an upstream has announced its departure.
    void report_departure(routing::upstream const& departed);

    membership::neighbour_table const& neighbours() const
    {
        return neighbours_;
    }

private:
    void handle(std::string const& host, neighbour_message const& message);
    void handle(std::string const& host, domain_report const& report);
    void handle(std::string const& host, departure_notice const& notice);
    void handle(std::string const& host, quota_message const& message);
    void handle(std::string const& host, level_message const& message);
    void send_departures();
    void add_quota_sources(core::time_point now);
    void send_quotas(core::time_point now);
    void send_levels(core::time_point now);
    void send_domain_reports(core::time_point now);
    void send_to(settings::endpoint const& target, bool wants_reply);
    neighbour_message make_message(bool wants_reply,
                                   std::vector<upstream_report> reports);
    bool is_message_due(core::time_point now) const;

    identity self_;
    upstream_tracker& tracker_;
    /// Quotas of organisations; nothing is sent while there are none.
    limits::quota_table& quotas_;
    /// Admission levels of the services; null if they are disabled.
    limits::admission_levels* levels_;
    hooks hooks_;
    membership::neighbour_table neighbours_;
    /// Load reported by neighbours and by other domains.
    remote_load_table remote_load_;
    /// Reports to and from other domains.
    domain_relay relay_;
    /// Departures to report.
    departure_log departures_;
    neighbour_socket socket_;
    /// Sequence number of the last message to any receiver.
    std::uint32_t sequence_ = 0;
    /// Time of the last message to all neighbours.
    core::time_point last_sent_;
    /// Time of the last counts of quotas sent to all neighbours.
    core::time_point last_quotas_sent_;
    /// Time of the last update of the admission levels, its sequence number,
    /// and the position among the neighbours of its last receiver.
    core::time_point levels_updated_;
    std::uint32_t level_sequence_ = 0;
    std::size_t last_level_target_ = 0;
    /// Whether the known instances were added to the sources of the quotas.
    bool has_quota_sources_ = false;
    /// Number of neighbours that were live at the last tick.
    std::size_t live_neighbours_ = 0;
};

/// Minimum interval between messages about changed load, by the number of live
/// neighbours.
core::duration load_message_interval(std::size_t neighbours);

} // namespace kumquatloom::hosting

#endif
