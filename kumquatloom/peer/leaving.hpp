#ifndef KUMQUATLOOM_PEER_LEAVING_HPP
#define KUMQUATLOOM_PEER_LEAVING_HPP

#include <kumquatloom/peer/message_kind.hpp>

#include <cstdint>

namespace kumquatloom::peer
{

/// Announces that the sender's incarnation is leaving, which cannot be revoked.
struct leaving
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::leaving;

    /// The sender's refutation number.
    std::uint32_t refutation = 0;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(refutation);
    }

    friend bool operator==(leaving const&, leaving const&) = default;
};

} // namespace kumquatloom::peer

#endif
