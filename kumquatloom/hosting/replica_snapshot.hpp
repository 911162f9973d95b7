#ifndef KUMQUATLOOM_HOSTING_REPLICA_SNAPSHOT_HPP
#define KUMQUATLOOM_HOSTING_REPLICA_SNAPSHOT_HPP

#include <kumquatloom/hosting/message_codec.hpp>
#include <kumquatloom/hosting/store_position.hpp>
#include <kumquatloom/routing/upstream_endpoint.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace kumquatloom::hosting
{

/// Maximum size of a configuration in a snapshot.
inline constexpr std::size_t max_document_bytes = 4 * 1024 * 1024;
/// Maximum number of upstreams in a snapshot.
inline constexpr std::size_t max_listed_upstreams = 65535;
/// Maximum number of instance addresses in a snapshot.
inline constexpr std::size_t max_hosts = 1024;

/// Complete contents of an instance's copy of the store, for a neighbour that
/// has missed a change or has just started.
struct replica_snapshot
{
    /// The configuration as stored; empty if there is none.
    std::string document;
    /// All listed upstreams.
    std::vector<routing::listed_upstream> upstreams;
    /// Store position of the contents.
    store_position position;
    /// Age of the contents when the snapshot was made.
    std::chrono::milliseconds age{0};
    /// IP addresses of the instances of the failure domain.
    std::vector<std::string> hosts;

    /// Serializes with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        auto text = peer::bounded<max_document_bytes>(document);
        auto list = peer::bounded<max_listed_upstreams>(upstreams);
        peer::wire_milliseconds wire_age(age);
        archive(text, list, position, wire_age);
        bounded_hosts bounded_field(hosts);
        archive(bounded_field);
    }

private:
    /// Serializes the addresses with bounds on their number and sizes.
    class bounded_hosts
    {
    public:
        explicit bounded_hosts(std::vector<std::string>& hosts)
            : hosts_(hosts)
        {
        }

        /// Serializes with cereal.
        template <typename Archive>
        void serialize(Archive& archive)
        {
            auto count = static_cast<std::uint16_t>(hosts_.size());
            archive(count);
            if (count > max_hosts)
                throw peer::bounds_error();
            hosts_.resize(count);
            for (auto& host : hosts_)
            {
                auto text = peer::bounded<peer::max_address_bytes>(host);
                archive(text);
            }
        }

    private:
        std::vector<std::string>& hosts_;
    };
};

} // namespace kumquatloom::hosting

#endif
