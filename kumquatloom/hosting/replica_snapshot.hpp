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
    /// Those of `upstreams` whose leases lapsed around an outage of the store,
    /// and the time that they have left to renew them.
    std::vector<core::upstream_id> lapsed;
    std::chrono::milliseconds lapsed_grace{0};
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
        bounded_texts<std::string, max_hosts, peer::max_address_bytes>
            bounded_addresses(hosts);
        archive(bounded_addresses);
        if constexpr (Archive::is_loading::value)
            load_lapsed(archive);
        else
            serialize_lapsed(archive);
    }

private:
    template <typename Archive>
    void serialize_lapsed(Archive& archive)
    {
        bounded_texts<core::upstream_id,
                      max_listed_upstreams,
                      peer::max_name_bytes>
            bounded_ids(lapsed);
        peer::wire_milliseconds wire_grace(lapsed_grace);
        archive(bounded_ids, wire_grace);
    }

    /// Snapshots of builds before these fields end here.
    template <typename Archive>
    void load_lapsed(Archive& archive)
    {
        try
        {
            serialize_lapsed(archive);
        }
        catch (cereal::Exception const&)
        {
            lapsed.clear();
            lapsed_grace = std::chrono::milliseconds::zero();
        }
    }

    /// Serializes texts with bounds on their number and sizes.
    template <typename Text, std::size_t MaxCount, std::size_t MaxBytes>
    class bounded_texts
    {
    public:
        explicit bounded_texts(std::vector<Text>& texts)
            : texts_(texts)
        {
        }

        /// Serializes with cereal.
        template <typename Archive>
        void serialize(Archive& archive)
        {
            if (texts_.size() > MaxCount)
                throw peer::bounds_error();
            auto count = static_cast<std::uint16_t>(texts_.size());
            archive(count);
            if (count > MaxCount)
                throw peer::bounds_error();
            texts_.resize(count);
            for (auto& item : texts_)
            {
                auto text = peer::bounded<MaxBytes>(item);
                archive(text);
            }
        }

    private:
        std::vector<Text>& texts_;
    };
};

} // namespace kumquatloom::hosting

#endif
