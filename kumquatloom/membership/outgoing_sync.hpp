#ifndef KUMQUATLOOM_MEMBERSHIP_OUTGOING_SYNC_HPP
#define KUMQUATLOOM_MEMBERSHIP_OUTGOING_SYNC_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/destination.hpp>
#include <kumquatloom/peer/sync_request.hpp>

namespace kumquatloom::membership
{

/// A sync request to send over a stream. Its outcome must be reported back.
struct outgoing_sync
{
    /// The peer to ask.
    core::instance_id peer;
    /// Its address.
    peer::destination to;
    /// The request.
    peer::sync_request request;
};

} // namespace kumquatloom::membership

#endif
