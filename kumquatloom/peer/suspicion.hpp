#ifndef KUMQUATLOOM_PEER_SUSPICION_HPP
#define KUMQUATLOOM_PEER_SUSPICION_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>

#include <cstdint>

namespace kumquatloom::peer
{

/// Reports a member from which the sender has received nothing for the
/// suspicion timeout, neither directly nor through indirect probes.
struct suspicion
{
    /// The suspected member.
    core::instance_id member;
    /// Incarnation of the suspected member.
    core::incarnation incarnation = 0;
    /// Refutation number that the member must exceed to refute the suspicion.
    std::uint32_t refutation = 0;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(bounded<max_name_bytes>(member), incarnation, refutation);
    }

    friend bool operator==(suspicion const&, suspicion const&) = default;
};

} // namespace kumquatloom::peer

#endif
