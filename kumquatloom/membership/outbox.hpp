#ifndef KUMQUATLOOM_MEMBERSHIP_OUTBOX_HPP
#define KUMQUATLOOM_MEMBERSHIP_OUTBOX_HPP

#include <kumquatloom/membership/datagram.hpp>
#include <kumquatloom/membership/outgoing_push.hpp>
#include <kumquatloom/membership/outgoing_sync.hpp>

#include <vector>

namespace kumquatloom::membership
{

/// Messages that a protocol step produced.
struct outbox
{
    std::vector<datagram> datagrams;
    /// Sync requests for records.
    std::vector<outgoing_sync> syncs;
    /// Pushes of records.
    std::vector<outgoing_push> pushes;
};

} // namespace kumquatloom::membership

#endif
