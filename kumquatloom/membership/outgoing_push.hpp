#ifndef KUMQUATLOOM_MEMBERSHIP_OUTGOING_PUSH_HPP
#define KUMQUATLOOM_MEMBERSHIP_OUTGOING_PUSH_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/destination.hpp>

namespace kumquatloom::membership
{

/// A push of records to a peer over a stream, as a sync response with nonce 0.
struct outgoing_push
{
    core::instance_id peer;
    peer::destination to;
    /// Number, counted from 1, of the first record that the peer lacks.
    core::log_offset first_missing_record = 0;
};

} // namespace kumquatloom::membership

#endif
