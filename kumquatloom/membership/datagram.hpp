#ifndef KUMQUATLOOM_MEMBERSHIP_DATAGRAM_HPP
#define KUMQUATLOOM_MEMBERSHIP_DATAGRAM_HPP

#include <kumquatloom/peer/destination.hpp>
#include <kumquatloom/peer/message.hpp>

#include <vector>

namespace kumquatloom::membership
{

/// A message to send as a datagram to each of several receivers.
struct datagram
{
    /// The receivers.
    std::vector<peer::destination> to;
    /// The message.
    peer::message body;
};

} // namespace kumquatloom::membership

#endif
