#ifndef KUMQUATLOOM_PEER_PROBE_HPP
#define KUMQUATLOOM_PEER_PROBE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <cstdint>

namespace kumquatloom::peer
{

/// Requests an ack from a member.
struct probe
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::probe;

    /// Random number that the ack must repeat; 0 if the probe only notifies the
    /// target of a higher incarnation.
    std::uint64_t nonce = 0;
    /// The member to probe.
    core::instance_id target;
    /// The newest incarnation of the target that the sender knows of. A target
    /// with a lower incarnation learns from it that its own is outdated.
    core::incarnation target_incarnation = 0;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(nonce, bounded<max_name_bytes>(target), target_incarnation);
    }

    friend bool operator==(probe const&, probe const&) = default;
};

} // namespace kumquatloom::peer

#endif
