#ifndef KUMQUATLOOM_MEMBERSHIP_OUTGOING_SYNC_HPP
#define KUMQUATLOOM_MEMBERSHIP_OUTGOING_SYNC_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/destination.hpp>
#include <kumquatloom/peer/sync_request.hpp>

namespace kumquatloom::membership
{

/// A sync request to send over a stream. The owner reports its outcome back.
struct outgoing_sync
{
    core::instance_id peer;
    peer::destination to;
    peer::sync_request request;
};

} // namespace kumquatloom::membership

#endif
