#ifndef KUMQUATLOOM_HOSTING_REMOTE_LOAD_TABLE_HPP
#define KUMQUATLOOM_HOSTING_REMOTE_LOAD_TABLE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/upstream_report.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquatloom::hosting
{

/// Requests in flight by the hash of the upstream's id.
using load_totals = boost::unordered_flat_map<std::uint32_t, unsigned>;

/// What other instances have in flight at each upstream: neighbours by their
/// last messages, other failure domains by their last reports. The totals are
/// kept up to date with each message, because a small instance receives
/// hundreds of them a second. Belongs to one thread.
class remote_load_table
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
    load_totals const& neighbours() const
    {
        return neighbour_totals_;
    }

    /// What the neighbours and the other domains have in flight at an
    /// upstream.
    unsigned total(std::uint32_t upstream) const;

    /// Upstreams whose totals may have changed since the last call; an
    /// upstream may be named twice.
    std::vector<std::uint32_t> take_changed();

private:
    /// What a domain has told.
    struct domain_load
    {
        /// Its report.
        std::vector<upstream_report> reports;
        /// When it was received.
        core::time_point received;
    };

    void replace(std::vector<upstream_report>& known,
                 std::vector<upstream_report> next,
                 load_totals& totals);
    void subtract(std::vector<upstream_report> const& known,
                  load_totals& totals);

    /// Reports by neighbour, and their sums.
    std::map<std::string, std::vector<upstream_report>> neighbours_;
    load_totals neighbour_totals_;
    /// Reports by domain, and their sums.
    std::map<core::failure_domain, domain_load> domains_;
    load_totals domain_totals_;
    /// See take_changed().
    std::vector<std::uint32_t> changed_;
};

} // namespace kumquatloom::hosting

#endif
