#ifndef KUMQUATLOOM_HOSTING_LOAD_BOARD_HPP
#define KUMQUATLOOM_HOSTING_LOAD_BOARD_HPP

#include <kumquatloom/hosting/upstream_report.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatloom::hosting
{

/// What the neighbours have in flight at each upstream, as their last messages
/// say. Belongs to one thread.
class load_board
{
public:
    /// Replaces what a neighbour has told.
    void tell(std::string const& host, std::vector<upstream_report> reports);

    /// Keeps only what the named neighbours have told.
    void keep(std::vector<std::string> const& hosts);

    /// Requests in flight by the hash of the upstream's id.
    std::unordered_map<std::uint32_t, unsigned> totals() const;

private:
    /// Reports by neighbour.
    std::map<std::string, std::vector<upstream_report>> reports_;
};

} // namespace kumquatloom::hosting

#endif
