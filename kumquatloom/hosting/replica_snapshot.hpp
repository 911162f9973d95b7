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

/// Largest configuration that instances pass on.
inline constexpr std::size_t max_document_bytes = 4 * 1024 * 1024;
/// Most upstreams of a list that instances pass on.
inline constexpr std::size_t max_listed_upstreams = 65535;
/// Most addresses of instances that one message passes on.
inline constexpr std::size_t max_hosts = 1024;

/// Everything that an instance knows of its environment, for a neighbour that
/// has missed a change or has just started.
struct replica_snapshot
{
    /// The configuration as the store holds it; empty if there is none.
    std::string document;
    /// All upstreams.
    std::vector<routing::listed_upstream> upstreams;
    /// Up to where the store was read.
    store_position position;
    /// How long ago that was.
    std::chrono::milliseconds age{0};
    /// IP numbers of the instances of the domain.
    std::vector<std::string> hosts;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        auto text = peer::bounded<max_document_bytes>(document);
        auto list = peer::bounded<max_listed_upstreams>(upstreams);
        peer::wire_milliseconds wire_age(age);
        archive(text, list, position, wire_age);
        bounded_hosts wrapped(hosts);
        archive(wrapped);
    }

private:
    /// Bounds the number of addresses and the size of each.
    class bounded_hosts
    {
    public:
        explicit bounded_hosts(std::vector<std::string>& hosts)
            : hosts_(hosts)
        {
        }

        /// cereal's entry point.
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
        /// The field of the message.
        std::vector<std::string>& hosts_;
    };
};

} // namespace kumquatloom::hosting

#endif
