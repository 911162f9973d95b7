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

/// What other cells and regions learn about a cell. A cell that does not fit
/// one datagram is described by several digests with different members.
struct cell_digest
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::cell_digest;

    /// Region of the cell.
    core::region region;
    /// Number of the cell in its region.
    std::uint16_t cell = 0;
    /// Uptime of the instance that sent this, see heartbeat::uptime. An
    /// instance that passes a digest on puts in its own.
    std::chrono::milliseconds uptime{0};
    /// The instance that speaks for the cell.
    core::instance_id relay;
    /// Its peers' address as "ip:port".
    std::string relay_address;
    /// How often the digest may still be passed on: 2 between regions, 1
    /// between cells, 0 inside a cell. It rules out loops.
    std::uint8_t hops = 0;
    /// Lowest state offset of the cell's live members.
    core::log_offset lowest_offset = 0;
    /// Highest state offset of the cell's live members.
    core::log_offset highest_offset = 0;
    /// Failure domains of the members below.
    std::vector<digest_domain> domains;
    /// Members of the cell.
    std::vector<digest_member> members;

    /// cereal's entry point.
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
