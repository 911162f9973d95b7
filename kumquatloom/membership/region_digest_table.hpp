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

/// Bounds of a region digest table.
struct region_digest_table_settings
{
    /// Time since a member was heard after which it is forgotten.
    std::chrono::seconds member_lifetime{30};
    /// Most members of other cells; the fleet of section 1.3 has 7,000.
    std::size_t max_members = 8192;
    /// Most cells; the fleet of section 1.3 has about 300.
    std::size_t max_cells = 512;
};

/// What the digests of other cells and regions say. The age in a digest is
/// added to the time since the digest came, so nothing depends on the clocks of
/// other instances.
class region_digest_table
{
public:
    /// A cell, by its region and number.
    using cell_key = std::pair<core::region, std::uint16_t>;

    /// What is known about another cell as a whole.
    struct cell_summary
    {
        /// Lowest state offset of its members.
        core::log_offset lowest_offset = 0;
        /// Highest state offset of its members.
        core::log_offset highest_offset = 0;
        /// The instance that speaks for the cell.
        core::instance_id relay;
        /// Peers' address of that instance.
        settings::endpoint relay_address;
        /// When the last digest came.
        core::time_point received;
    };

    /// A member of another cell.
    struct remote_member
    {
        /// What callers may be told.
        known_instance instance;
        /// Its process start.
        core::incarnation incarnation = 0;
        /// Its peers' address as "ip:port".
        std::string peer_address;
        /// Number of its cell.
        std::uint16_t cell = 0;
    };

    /// An empty table.
    explicit region_digest_table(region_digest_table_settings settings);

    /// Takes in a digest.
    void receive(peer::cell_digest const& digest, core::time_point now);

    /// Forgets members and cells that were not heard of for their lifetime.
    void expire(core::time_point now);

    /// The members of all other cells.
    std::map<core::instance_id, remote_member> const& members() const
    {
        return members_;
    }

    /// All other cells.
    std::map<cell_key, cell_summary> const& cells() const
    {
        return cells_;
    }

    /// The digests of the cells of one region, with the ages as of now.
    std::vector<peer::cell_digest> digests_of(core::region const& region,
                                              core::time_point now) const;

private:
    void receive_member(peer::digest_member const& item,
                        peer::cell_digest const& digest,
                        core::time_point now);

    /// Bounds.
    region_digest_table_settings settings_;
    /// Members by id.
    std::map<core::instance_id, remote_member> members_;
    /// Cells by region and number.
    std::map<cell_key, cell_summary> cells_;
};

} // namespace kumquatloom::membership

#endif
