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

/// Number of requests in flight by upstream hash.
using load_totals = boost::unordered_flat_map<std::uint32_t, unsigned>;

/// Requests that other instances have in flight at each upstream: neighbours as
/// of their last messages, other failure domains as of their last reports.
/// Totals are updated incrementally with each message, because a small instance
/// receives hundreds of messages per second. Not thread-safe.
class remote_load_table
{
public:
    /// Replaces the load reported by a neighbour.
    void update_neighbour(std::string const& host,
                          std::vector<upstream_report> reports);

    /// Replaces the load reported by another failure domain.
    void update_domain(core::failure_domain const& domain,
                       std::vector<upstream_report> reports,
                       core::time_point now);

    /// Removes the load of neighbours not in `hosts`, which must be sorted, and
    /// of domains without a recent report.
    void retain(std::vector<std::string> const& hosts, core::time_point now);

    /// Totals over the neighbours, without other domains.
    load_totals const& neighbour_totals() const
    {
        return neighbour_totals_;
    }

    /// Requests in flight at an upstream from neighbours and other domains.
    unsigned total(std::uint32_t upstream) const;

    /// Upstreams whose totals may have changed since the last call, possibly
    /// with duplicates.
    std::vector<std::uint32_t> take_changed();

private:
    /// Last report of a domain.
    struct domain_load
    {
        std::vector<upstream_report> reports;
        core::time_point received;
    };

    void replace(std::vector<upstream_report>& current,
                 std::vector<upstream_report> next,
                 load_totals& totals);
    void subtract(std::vector<upstream_report> const& current,
                  load_totals& totals);

    /// Load reported by each neighbour, and the totals.
    std::map<std::string, std::vector<upstream_report>> neighbours_;
    load_totals neighbour_totals_;
    /// Load reported by each domain, and the totals.
    std::map<core::failure_domain, domain_load> domains_;
    load_totals domain_totals_;
    /// See take_changed().
    std::vector<std::uint32_t> changed_;
};

} // namespace kumquatloom::hosting

#endif
