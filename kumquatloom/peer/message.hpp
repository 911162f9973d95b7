#ifndef KUMQUATLOOM_PEER_MESSAGE_HPP
#define KUMQUATLOOM_PEER_MESSAGE_HPP

#include <kumquatloom/peer/ack.hpp>
#include <kumquatloom/peer/cell_digest.hpp>
#include <kumquatloom/peer/evidence.hpp>
#include <kumquatloom/peer/heartbeat.hpp>
#include <kumquatloom/peer/indirect_probe.hpp>
#include <kumquatloom/peer/leaving.hpp>
#include <kumquatloom/peer/probe.hpp>
#include <kumquatloom/peer/share_grant.hpp>
#include <kumquatloom/peer/share_request.hpp>
#include <kumquatloom/peer/sync_request.hpp>
#include <kumquatloom/peer/sync_response.hpp>
#include <kumquatloom/peer/upstream_leaving.hpp>

#include <variant>

namespace kumquatloom::peer
{

/// Any message of the peer protocol. The alternatives have the order of
/// message_kind.
using message = std::variant<heartbeat,
                             probe,
                             indirect_probe,
                             ack,
                             evidence,
                             leaving,
                             upstream_leaving,
                             cell_digest,
                             sync_request,
                             sync_response,
                             share_request,
                             share_grant>;

static_assert(std::variant_size_v<message> ==
              static_cast<std::size_t>(message_kind::count));

inline message_kind kind_of(message const& body)
{
    return static_cast<message_kind>(body.index());
}

} // namespace kumquatloom::peer

#endif
