#ifndef KUMQUATLOOM_PEER_CELL_DIGEST_HPP
#define KUMQUATLOOM_PEER_CELL_DIGEST_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/digest_domain.hpp>
#include <kumquatloom/peer/digest_member.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatloom::peer
{

/// Summary of one cell that is sent to other cells and regions. A cell that
/// does not fit into one datagram is split into several digests with different
/// members.
struct cell_digest
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::cell_digest;

    /// Region of the cell.
    core::region region;
    /// Index of the cell in its region.
    std::uint16_t cell = 0;
    /// Uptime of the instance that sent this datagram, see heartbeat::uptime.
    /// An instance that forwards a digest replaces it with its own uptime.
    std::chrono::milliseconds uptime{0};
    /// The instance that sent the digest before any forwarding: usually the
    /// relay of the cell; in a digest from another region, the relay that sends
    /// the digests of that whole region.
    core::instance_id relay;
    /// Peer address of the relay as "ip:port".
    std::string relay_address;
    /// Number of times that the digest may still be forwarded: 2 between
    /// regions, 1 between cells, 0 inside a cell. Prevents forwarding loops.
    std::uint8_t hops = 0;
    /// Lowest state offset of the cell's live members, see
    /// heartbeat::state_offset.
    core::log_offset lowest_offset = 0;
    /// Highest state offset of the cell's live members.
    core::log_offset highest_offset = 0;
    /// Failure domains that `members` refer to by index.
    std::vector<digest_domain> domains;
    /// Members of the cell, or a part of them.
    std::vector<digest_member> members;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(bounded<max_name_bytes>(region), cell);
        archive(wire_milliseconds(uptime),
                bounded<max_name_bytes>(relay),
                bounded<max_address_bytes>(relay_address));
        archive(hops, lowest_offset, highest_offset);
        archive(bounded<max_cell_members>(domains),
                bounded<max_cell_members>(members));
    }

    friend bool operator==(cell_digest const&, cell_digest const&) = default;
};

} // namespace kumquatloom::peer

#endif
