#include <kumquatloom/hosting/domain_relay.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

namespace kumquatloom::hosting
{

namespace
{

/// Interval between reports to a domain of the own region: a quarter of a short
/// service time.
constexpr std::chrono::milliseconds same_region_interval{100};
/// Interval between reports to a domain of another region. Two regions of two
/// domains each exchange 24 datagrams per second of about 150 bytes at this
/// interval.
constexpr std::chrono::milliseconds cross_region_interval{400};
/// Largest load of one upstream in a report, and largest evidence in tenths of
/// a log-odds unit.
constexpr unsigned max_in_flight = 255;
constexpr int max_evidence = 1000;
/// Number of upstreams with pending evidence above which all pending evidence
/// is discarded. Only the instance that sends the domain's reports clears it
/// regularly; on the others it would grow without bound.
constexpr std::size_t max_pending_evidence = 1024;

} // namespace

domain_relay::domain_relay(core::failure_domain own_domain,
                           std::set<core::failure_domain> region_domains)
    : own_domain_(std::move(own_domain))
    , region_domains_(std::move(region_domains))
{
}

void domain_relay::add_instance(announced_instance const& instance)
{
    if (instance.domain == own_domain_)
        return;
    auto& hosts = other_domains_[instance.domain].hosts;
    if (std::find(hosts.begin(), hosts.end(), instance.host) == hosts.end())
        hosts.push_back(instance.host);
}

std::map<core::failure_domain, std::size_t>
domain_relay::instance_counts() const
{
    std::map<core::failure_domain, std::size_t> result;
    for (auto const& [name, domain] : other_domains_)
        if (!domain.hosts.empty())
            result[name] = domain.hosts.size();
    return result;
}

void domain_relay::add_evidence(std::vector<upstream_report> const& reports)
{
    if (pending_evidence_.size() > max_pending_evidence)
        pending_evidence_.clear();
    for (auto const& item : reports)
        if (item.evidence != 0)
            pending_evidence_[item.upstream] += item.evidence;
}

std::vector<std::string> domain_relay::due_targets(core::time_point now)
{
    std::vector<std::string> targets;
    for (auto& [name, domain] : other_domains_)
    {
        bool const in_own_region = region_domains_.contains(name);
        if (domain.hosts.empty() ||
            now - domain.last_sent <
                (in_own_region ? same_region_interval : cross_region_interval))
            continue;
        domain.last_sent = now;
        domain.last_target = (domain.last_target + 1) % domain.hosts.size();
        targets.push_back(domain.hosts[domain.last_target]);
    }
    return targets;
}

domain_report domain_relay::make_report(load_totals const& load,
                                        core::incarnation sender)
{
    std::unordered_map<std::uint32_t, upstream_report> merged;
    for (auto const& [upstream, in_flight] : load)
        if (in_flight != 0)
            merged[upstream].in_flight =
                static_cast<std::uint8_t>(std::min(in_flight, max_in_flight));
    for (auto const& [upstream, evidence] : pending_evidence_)
        merged[upstream].evidence = static_cast<std::int16_t>(
            std::clamp(evidence, -max_evidence, max_evidence));
    pending_evidence_.clear();
    domain_report result;
    result.domain = own_domain_;
    result.incarnation = sender;
    result.sequence = ++sequence_;
    for (auto& [upstream, item] : merged)
    {
        item.upstream = upstream;
        result.reports.push_back(item);
    }
    keep_most_significant(result.reports, max_reported_upstreams);
    return result;
}

bool domain_relay::accept(domain_report const& report)
{
    if (report.domain == own_domain_)
        return false;
    auto& domain = other_domains_[report.domain];
    std::pair const report_id(report.incarnation, report.sequence);
    // A different incarnation means that another instance now reports for the
    // domain.
    if (report_id.first == domain.last_received.first &&
        report_id.second <= domain.last_received.second)
        return false;
    domain.last_received = report_id;
    return true;
}

} // namespace kumquatloom::hosting
