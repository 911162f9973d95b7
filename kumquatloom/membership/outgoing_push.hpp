#ifndef KUMQUATLOOM_MEMBERSHIP_OUTGOING_PUSH_HPP
#define KUMQUATLOOM_MEMBERSHIP_OUTGOING_PUSH_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/destination.hpp>

namespace kumquatloom::membership
{

/// Records to push to a peer over a stream, as a sync response with nonce 0.
struct outgoing_push
{
    /// The peer.
    core::instance_id peer;
    /// Its address.
    peer::destination to;
    /// First offset that the peer lacks.
    core::log_offset from = 0;
};

} // namespace kumquatloom::membership

#endif
