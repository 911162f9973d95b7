#ifndef KUMQUATLOOM_PEER_SHARE_GRANT_HPP
#define KUMQUATLOOM_PEER_SHARE_GRANT_HPP

#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::peer
{

/// Answers a share request. The payload belongs to
/// the limits package.
struct share_grant
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::share_grant;

    /// Number of the request.
    std::uint64_t nonce = 0;
    /// The encoded grant.
    std::string payload;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(nonce, bounded<max_stream_payload_bytes>(payload));
    }

    friend bool operator==(share_grant const&, share_grant const&) = default;
};

} // namespace kumquatloom::peer

#endif
