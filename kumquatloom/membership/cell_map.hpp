#ifndef KUMQUATLOOM_MEMBERSHIP_CELL_MAP_HPP
#define KUMQUATLOOM_MEMBERSHIP_CELL_MAP_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatloom::membership
{

/// Assigns the instances and services of one region to cells by rendezvous
/// hashing. Instances with the same list of members compute the same map.
/// Adding or removing a member moves few others, since each stays in the cell
/// with its highest score unless that cell is full.
class cell_map
{
public:
    /// Index of a cell within its region.
    using cell_index = std::uint16_t;
    /// Maximum number of members of a cell.
    static constexpr std::size_t max_members = 32;
    /// Target average number of members per cell in a region of several cells.
    static constexpr std::size_t target_members = 24;

    /// Creates a map with one empty cell.
    cell_map() = default;

    /// Assigns the members of a region.
    explicit cell_map(std::vector<core::instance_id> members);

    /// Number of cells.
    std::size_t cells() const
    {
        return cells_.size();
    }

    /// Cell of an instance; nothing if it is not in the region.
    std::optional<cell_index> cell_of(core::instance_id const& id) const;

    /// Cell that serves a service.
    cell_index cell_of(core::service_name const& service) const;

    /// Instances of a cell.
    std::vector<core::instance_id> const& members_of(cell_index cell) const;

private:
    cell_index best_cell(std::string const& key, bool with_room) const;

    /// Members by cell.
    std::vector<std::vector<core::instance_id>> cells_{1};
    /// Cell by member.
    std::map<core::instance_id, cell_index> cell_of_;
};

} // namespace kumquatloom::membership

#endif
