#ifndef KUMQUATLOOM_PEER_SHARE_REQUEST_HPP
#define KUMQUATLOOM_PEER_SHARE_REQUEST_HPP

#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::peer
{

/// Requests a part of a peer's share of a fleet-wide rate limit. The namespace
/// `limits` defines the payload.
struct share_request
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::share_request;

    /// Random number that the grant must repeat.
    std::uint64_t nonce = 0;
    /// The encoded request.
    std::string payload;

    /// Reads or writes the fields; called by cereal.
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
