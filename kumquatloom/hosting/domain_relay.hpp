#ifndef KUMQUATLOOM_HOSTING_DOMAIN_RELAY_HPP
#define KUMQUATLOOM_HOSTING_DOMAIN_RELAY_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/announced_instance.hpp>
#include <kumquatloom/hosting/domain_report.hpp>
#include <kumquatloom/hosting/remote_load_table.hpp>
#include <kumquatloom/hosting/upstream_report.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquatloom::hosting
{

/// Schedules and builds the reports that one instance of a failure domain sends
/// to other failure domains on behalf of its own. Reports to domains of another
/// region are less frequent, because cross-region traffic is paid for.
/// Successive reports to a domain go to its instances in round-robin order, so
/// that an unreachable instance loses only some of them. Not thread-safe.
class domain_relay
{
public:
    /// Takes the own domain and the domains of the own region.
    domain_relay(core::failure_domain own_domain,
                 std::set<core::failure_domain> region_domains);

    /// Adds an instance of another domain as a target. Ignores instances of the
    /// own domain.
    void add_instance(announced_instance const& instance);

    /// Number of known instances by other domain.
    std::map<core::failure_domain, std::size_t> instance_counts() const;

    /// Adds health evidence from the own domain to the next report.
    void add_evidence(std::vector<upstream_report> const& reports);

    /// Hosts to which a report is due at `now`; marks the report as sent.
    std::vector<std::string> due_targets(core::time_point now);

    /// Builds the next report of the own domain from its load and the evidence
    /// added since the last report, which is cleared.
    domain_report make_report(load_totals const& load,
                              core::incarnation sender);

    /// Returns whether a received report is newer than the last one accepted
    /// from its domain, or comes from another incarnation than that one. If so,
    /// records it as the last one.
    bool accept(domain_report const& report);

private:
    /// State of the exchange with another domain.
    struct other_domain
    {
        /// Addresses of the known instances.
        std::vector<std::string> hosts;
        /// Index into `hosts` of the last target.
        std::size_t last_target = 0;
        /// Time of the last report sent to the domain.
        core::time_point last_sent;
        /// Sender's incarnation and sequence number of the last report received
        /// from the domain.
        std::pair<core::incarnation, std::uint32_t> last_received{0, 0};
    };

    core::failure_domain own_domain_;
    /// Domains of the own region.
    std::set<core::failure_domain> region_domains_;
    /// Other domains by name.
    std::map<core::failure_domain, other_domain> other_domains_;
    /// Evidence not yet reported by upstream hash, in tenths of a log-odds
    /// unit.
    std::unordered_map<std::uint32_t, int> pending_evidence_;
    /// Sequence number of the last report sent.
    std::uint32_t sequence_ = 0;
};

} // namespace kumquatloom::hosting

#endif
