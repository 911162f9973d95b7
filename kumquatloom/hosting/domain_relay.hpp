#ifndef KUMQUATLOOM_HOSTING_DOMAIN_RELAY_HPP
#define KUMQUATLOOM_HOSTING_DOMAIN_RELAY_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/announced_instance.hpp>
#include <kumquatloom/hosting/domain_report.hpp>
#include <kumquatloom/hosting/remote_load_table.hpp>
#include <kumquatloom/hosting/upstream_report.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquatloom::hosting
{

/// Decides what the failure domain's speaker tells which other domain, and
/// when. Reports within the region go out often, those that cross the paid
/// link seldom. Each goes to another instance of the domain in turn, so that a
/// dead one costs a report and no more. Belongs to one thread.
class domain_relay
{
public:
    /// The own domain, and the domains of the own region.
    domain_relay(core::failure_domain own,
                 std::set<core::failure_domain> region);

    /// Adds an instance of another domain.
    void learn(announced_instance const& instance);

    /// Collects evidence of the own domain.
    void collect(std::vector<upstream_report> const& reports);

    /// The instances that are to be sent a report now.
    std::vector<std::string> due(core::time_point now);

    /// The report of the own domain, given its load. Evidence is told once.
    domain_report report(load_totals const& load, core::incarnation speaker);

    /// Whether a received report is newer than the last one of its domain.
    bool is_news(domain_report const& report);

private:
    /// Another domain.
    struct other_domain
    {
        /// Its instances.
        std::vector<std::string> hosts;
        /// The one that is told next.
        std::size_t next = 0;
        /// When the last report was sent.
        core::time_point sent;
        /// Sender and number of the last report that was received.
        std::pair<core::incarnation, std::uint32_t> heard{0, 0};
    };

    /// The own domain.
    core::failure_domain own_;
    /// The domains of the own region.
    std::set<core::failure_domain> region_;
    /// The others by name.
    std::map<core::failure_domain, other_domain> others_;
    /// Evidence that was not told yet, in tenths of a log-odds unit.
    std::unordered_map<std::uint32_t, int> evidence_;
    /// Number of the last report.
    std::uint32_t sequence_ = 0;
};

} // namespace kumquatloom::hosting

#endif
