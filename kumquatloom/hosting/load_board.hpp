#ifndef KUMQUATLOOM_HOSTING_LOAD_BOARD_HPP
#define KUMQUATLOOM_HOSTING_LOAD_BOARD_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/upstream_report.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatloom::hosting
{

/// Requests in flight by the hash of the upstream's id.
using load_totals = std::unordered_map<std::uint32_t, unsigned>;

/// What other instances have in flight at each upstream: neighbours by their
/// last messages, other failure domains by their last reports. Belongs to one
/// thread.
class load_board
{
public:
    /// Replaces what a neighbour has told.
    void tell(std::string const& host, std::vector<upstream_report> reports);

    /// Replaces what another failure domain has told.
    void tell_domain(core::failure_domain const& domain,
                     std::vector<upstream_report> reports,
                     core::time_point now);

    /// Keeps only what the named neighbours have told, and what other domains
    /// have told lately.
    void keep(std::vector<std::string> const& hosts, core::time_point now);

    /// What the neighbours have in flight.
    load_totals neighbours() const;

    /// What the neighbours and the other domains have in flight.
    load_totals totals() const;

private:
    /// What a domain has told.
    struct domain_load
    {
        /// Its report.
        std::vector<upstream_report> reports;
        /// When it was received.
        core::time_point received;
    };

    /// Reports by neighbour.
    std::map<std::string, std::vector<upstream_report>> neighbours_;
    /// Reports by domain.
    std::map<core::failure_domain, domain_load> domains_;
};

} // namespace kumquatloom::hosting

#endif
