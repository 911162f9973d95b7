#ifndef KUMQUATLOOM_PEER_SUSPICION_HPP
#define KUMQUATLOOM_PEER_SUSPICION_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>

#include <cstdint>

namespace kumquatloom::peer
{

/// Names a member that the sender has not heard from, directly or indirectly.
struct suspicion
{
    /// The suspected member.
    core::instance_id member;
    /// Its process start.
    core::incarnation incarnation = 0;
    /// The refutation number that the member must exceed to refute.
    std::uint32_t refutation = 0;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(bounded<max_name_bytes>(member), incarnation, refutation);
    }

    friend bool operator==(suspicion const&, suspicion const&) = default;
};

} // namespace kumquatloom::peer

#endif
