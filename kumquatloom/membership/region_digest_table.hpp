#ifndef KUMQUATLOOM_MEMBERSHIP_REGION_DIGEST_TABLE_HPP
#define KUMQUATLOOM_MEMBERSHIP_REGION_DIGEST_TABLE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/membership/known_instance.hpp>
#include <kumquatloom/peer/cell_digest.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace kumquatloom::membership
{

/// Limits of a region digest table.
struct region_digest_table_settings
{
    /// Time after which a member that was not heard of, or a cell from which no
    /// digest was received, is removed.
    std::chrono::seconds member_lifetime{30};
    /// Maximum number of members of other cells; the fleet of section 1.3 of
    /// the design has 7,000.
    std::size_t max_members = 8192;
    /// Maximum number of cells; the fleet of section 1.3 of the design has
    /// about 300.
    std::size_t max_cells = 512;
};

/// Members of other cells and regions from received digests. The age of an
/// entry is its age in the digest plus the time since the digest was received,
/// so that no clocks have to be synchronized. Not thread-safe.
class region_digest_table
{
public:
    /// Region and index of a cell.
    using cell_key = std::pair<core::region, std::uint16_t>;

    /// Summary of another cell.
    struct cell_summary
    {
        /// Lowest state offset of its members.
        core::log_offset lowest_offset = 0;
        /// Highest state offset of its members.
        core::log_offset highest_offset = 0;
        /// The cell's relay, which sent the last digest.
        core::instance_id relay;
        settings::endpoint relay_address;
        /// Receive time of the last digest.
        core::time_point received;
    };

    /// A member of another cell.
    struct remote_member
    {
        /// State of the instance.
        known_instance instance;
        /// Identifies the process start.
        core::incarnation incarnation = 0;
        /// Address for messages of other instances as "ip:port".
        std::string peer_address;
        /// Index of its cell.
        std::uint16_t cell = 0;
    };

    explicit region_digest_table(region_digest_table_settings settings);

    /// Applies a digest.
    void receive(peer::cell_digest const& digest, core::time_point now);

    /// Removes members and cells that were not heard of within their lifetime.
    void expire(core::time_point now);

    /// Members of all other cells by id.
    std::map<core::instance_id, remote_member> const& members() const
    {
        return members_;
    }

    /// Summaries of all other cells.
    std::map<cell_key, cell_summary> const& cells() const
    {
        return cells_;
    }

    /// Digests of the cells of one region, with ages as of `now`.
    std::vector<peer::cell_digest> digests_of(core::region const& region,
                                              core::time_point now) const;

private:
    void receive_member(peer::digest_member const& item,
                        peer::cell_digest const& digest,
                        core::time_point now);

    region_digest_table_settings settings_;
    std::map<core::instance_id, remote_member> members_;
    std::map<cell_key, cell_summary> cells_;
};

} // namespace kumquatloom::membership

#endif
