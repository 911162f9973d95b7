#ifndef KUMQUATLOOM_MEMBERSHIP_OUTBOX_HPP
#define KUMQUATLOOM_MEMBERSHIP_OUTBOX_HPP

#include <kumquatloom/membership/datagram.hpp>
#include <kumquatloom/membership/outgoing_push.hpp>
#include <kumquatloom/membership/outgoing_sync.hpp>

#include <vector>

namespace kumquatloom::membership
{

/// What a step of the protocol wants to have sent.
struct outbox
{
    /// Datagrams to send now.
    std::vector<datagram> datagrams;
    /// Requests for records.
    std::vector<outgoing_sync> syncs;
    /// Records to push.
    std::vector<outgoing_push> pushes;
};

} // namespace kumquatloom::membership

#endif
