#ifndef KUMQUATLOOM_HOSTING_DEPARTURE_NOTICE_HPP
#define KUMQUATLOOM_HOSTING_DEPARTURE_NOTICE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/message_codec.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquatloom::hosting
{

/// Maximum number of upstreams in a notice, which then fits into a datagram
/// within the usual path MTU.
inline constexpr std::size_t max_departures = 64;
/// Format version, the first field of a notice. Must differ from those of the
/// other kinds of datagrams.
inline constexpr std::uint8_t departure_notice_version = 97;

/// A process of an upstream that has announced its departure in a response.
struct departed_upstream
{
    /// Hash of the upstream's id; see short_hash().
    std::uint32_t upstream = 0;
    /// The process; another process with the same id is not leaving.
    core::incarnation incarnation = 0;

    /// Serializes with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, incarnation);
    }

    friend bool operator==(departed_upstream const&,
                           departed_upstream const&) = default;
};

/// Tells the instances of a failure domain which upstreams have announced their
/// departure to one of them.
struct departure_notice
{
    std::uint8_t version = departure_notice_version;
    std::vector<departed_upstream> upstreams;

    /// Serializes the notice with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version);
        if (version != departure_notice_version)
            throw peer::bounds_error();
        auto bounded_upstreams = peer::bounded<max_departures>(upstreams);
        archive(bounded_upstreams);
    }
};

} // namespace kumquatloom::hosting

#endif
