#ifndef KUMQUATLOOM_PEER_EVIDENCE_HPP
#define KUMQUATLOOM_PEER_EVIDENCE_HPP

#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <string>

namespace kumquatloom::peer
{

/// Evidence about the health of upstreams. The health package defines the
/// payload; payload.hpp encodes and decodes it.
struct evidence
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::evidence;

    /// The encoded evidence.
    std::string payload;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(bounded<max_datagram_payload_bytes>(payload));
    }

    friend bool operator==(evidence const&, evidence const&) = default;
};

} // namespace kumquatloom::peer

#endif
