#ifndef KUMQUATLOOM_PEER_SHARE_REQUEST_HPP
#define KUMQUATLOOM_PEER_SHARE_REQUEST_HPP

#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::peer
{

/// Asks a peer for part of its share of a fleet limit. The payload belongs to
/// the limits package.
struct share_request
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::share_request;

    /// Random number that the grant repeats.
    std::uint64_t nonce = 0;
    /// The encoded request.
    std::string payload;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(nonce, bounded<max_stream_payload_bytes>(payload));
    }

    friend bool operator==(share_request const&,
                           share_request const&) = default;
};

} // namespace kumquatloom::peer

#endif
