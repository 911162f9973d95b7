#ifndef KUMQUATLOOM_PEER_SHARE_GRANT_HPP
#define KUMQUATLOOM_PEER_SHARE_GRANT_HPP

#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::peer
{

/// Response to a share request. The namespace `limits` defines the payload.
struct share_grant
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::share_grant;

    /// Nonce of the request.
    std::uint64_t nonce = 0;
    /// The encoded grant.
    std::string payload;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(nonce, bounded<max_stream_payload_bytes>(payload));
    }

    friend bool operator==(share_grant const&, share_grant const&) = default;
};

} // namespace kumquatloom::peer

#endif
