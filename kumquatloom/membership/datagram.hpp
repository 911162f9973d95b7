#ifndef KUMQUATLOOM_MEMBERSHIP_DATAGRAM_HPP
#define KUMQUATLOOM_MEMBERSHIP_DATAGRAM_HPP

#include <kumquatloom/peer/destination.hpp>
#include <kumquatloom/peer/message.hpp>

#include <vector>

namespace kumquatloom::membership
{

/// A message to send to one or several receivers as separate datagrams.
struct datagram
{
    std::vector<peer::destination> to;
    peer::message body;
};

} // namespace kumquatloom::membership

#endif
