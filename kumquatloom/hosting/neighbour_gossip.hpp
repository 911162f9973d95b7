#ifndef KUMQUATLOOM_HOSTING_NEIGHBOUR_GOSSIP_HPP
#define KUMQUATLOOM_HOSTING_NEIGHBOUR_GOSSIP_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/announced_instance.hpp>
#include <kumquatloom/hosting/domain_relay.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/neighbour_socket.hpp>
#include <kumquatloom/hosting/remote_load_table.hpp>
#include <kumquatloom/hosting/upstream_tracker.hpp>
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

/// The exchange with the instances of the own failure domain: who is there,
/// what they have in flight, and evidence about upstreams. Belongs to one
/// thread.
class neighbour_gossip
{
public:
    /// Who this instance is.
    struct identity
    {
        /// Address of the exchange.
        settings::endpoint address;
        /// The failure domain.
        core::failure_domain domain;
        /// The domains of the own region.
        std::set<core::failure_domain> region;
        /// Distinguishes process starts.
        core::incarnation incarnation = 0;
    };

    /// What is told and asked for beside load and evidence.
    struct hooks
    {
        /// Fills in what this instance knows of the environment and whether it
        /// serves.
        std::function<void(neighbour_message&)> describe;
        /// Takes over what a neighbour knows of the environment.
        std::function<void(std::string const& host, neighbour_message const&)>
            learned;
    };

    /// Binds to the address. The board must outlive the neighbourhood.
    neighbour_gossip(boost::asio::io_context& context,
                     identity self,
                     upstream_tracker& board,
                     hooks given);

    /// Begins to receive.
    void start();

    /// Ends receiving.
    void stop();

    /// Adds an address at which a neighbour may be and greets it.
    void learn(std::string const& host);

    /// Adds an instance, which may be a neighbour or of another domain.
    void learn(announced_instance const& instance);

    /// Greets an instance that may know others.
    void greet(settings::endpoint const& seed);

    /// Sends a message if one is due.
    void tick(core::time_point now);

    /// Sends a message now.
    void send_now();

    /// The neighbours.
    membership::neighbour_table const& table() const
    {
        return table_;
    }

private:
    void received(std::string const& host, neighbour_message const& message);
    void received(std::string const& host, domain_report const& report);
    void tell_other_domains(core::time_point now);
    void send_to(settings::endpoint const& target, bool asks);
    neighbour_message new_message(bool asks,
                                  std::vector<upstream_report> reports);
    bool is_due(core::time_point now) const;

    /// Who this instance is.
    identity self_;
    /// Upstreams by hash.
    upstream_tracker& board_;
    /// See hooks.
    hooks hooks_;
    /// The neighbours.
    membership::neighbour_table table_;
    /// Their load, and that of other domains.
    remote_load_table loads_;
    /// Tells other domains, and knows what they have told.
    domain_relay relay_;
    /// Datagrams.
    neighbour_socket socket_;
    /// Number and time of the last message.
    std::uint32_t sequence_ = 0;
    core::time_point sent_;
};

} // namespace kumquatloom::hosting

#endif
