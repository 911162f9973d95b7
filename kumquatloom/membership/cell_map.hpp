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

/// Assigns the instances and services of one region to cells. Instances with
/// the same list of members compute the same map. A change of one member moves
/// few others, since each keeps the cell with its highest rendezvous score
/// unless that cell is full.
class cell_map
{
public:
    /// Number of a cell in its region.
    using cell_index = std::uint16_t;
    /// Largest cell.
    static constexpr std::size_t max_members = 32;
    /// Average size of the cells, if there are several.
    static constexpr std::size_t usual_members = 24;

    /// A map without members has one cell.
    cell_map() = default;

    /// Assigns the members of a region.
    explicit cell_map(std::vector<core::instance_id> members);

    /// Number of cells.
    std::size_t cells() const
    {
        return cells_.size();
    }

    /// The cell of an instance; nothing if it is not in the region.
    std::optional<cell_index> cell_of(core::instance_id const& id) const;

    /// The cell that serves a service.
    cell_index cell_of(core::service_name const& service) const;

    /// The instances of a cell.
    std::vector<core::instance_id> const& members_of(cell_index cell) const;

private:
    cell_index best_cell(std::string const& key, bool with_room) const;

    /// The members of each cell.
    std::vector<std::vector<core::instance_id>> cells_{1};
    /// The cell of each member.
    std::map<core::instance_id, cell_index> cell_of_;
};

} // namespace kumquatloom::membership

#endif
