#include <kumquatloom/hosting/domain_relay.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

namespace kumquatloom::hosting
{

namespace
{

/// Time between two reports to a domain of the own region: a quarter of a
/// short service time.
constexpr std::chrono::milliseconds near_interval{100};
/// The same for another region: 24 datagrams a second of some 150 bytes on
/// the whole link between two regions of two domains each.
constexpr std::chrono::milliseconds far_interval{400};
/// Bounds of what a report states.
constexpr unsigned max_in_flight = 255;
constexpr int max_evidence = 1000;
/// Evidence that is kept for the next report at most; the speaker alone sends.
constexpr std::size_t max_collected = 1024;

} // namespace

domain_relay::domain_relay(core::failure_domain own,
                           std::set<core::failure_domain> region)
    : own_(std::move(own))
    , region_(std::move(region))
{
}

void domain_relay::learn(announced_instance const& instance)
{
    if (instance.domain == own_)
        return;
    auto& hosts = others_[instance.domain].hosts;
    if (std::find(hosts.begin(), hosts.end(), instance.host) == hosts.end())
        hosts.push_back(instance.host);
}

void domain_relay::collect(std::vector<upstream_report> const& reports)
{
    if (evidence_.size() > max_collected)
        evidence_.clear();
    for (auto const& item : reports)
        if (item.evidence != 0)
            evidence_[item.upstream] += item.evidence;
}

std::vector<std::string> domain_relay::due(core::time_point now)
{
    std::vector<std::string> targets;
    for (auto& [name, domain] : others_)
    {
        bool const is_near = region_.contains(name);
        if (domain.hosts.empty() ||
            now - domain.sent < (is_near ? near_interval : far_interval))
            continue;
        domain.sent = now;
        domain.next = (domain.next + 1) % domain.hosts.size();
        targets.push_back(domain.hosts[domain.next]);
    }
    return targets;
}

domain_report domain_relay::report(load_totals const& load,
                                   core::incarnation speaker)
{
    std::unordered_map<std::uint32_t, upstream_report> merged;
    for (auto const& [upstream, in_flight] : load)
        if (in_flight != 0)
            merged[upstream].in_flight =
                static_cast<std::uint8_t>(std::min(in_flight, max_in_flight));
    for (auto const& [upstream, evidence] : evidence_)
        merged[upstream].evidence = static_cast<std::int16_t>(
            std::clamp(evidence, -max_evidence, max_evidence));
    evidence_.clear();
    domain_report result;
    result.domain = own_;
    result.incarnation = speaker;
    result.sequence = ++sequence_;
    for (auto& [upstream, item] : merged)
    {
        item.upstream = upstream;
        result.reports.push_back(item);
    }
    if (result.reports.size() > max_domain_reports)
    {
        std::nth_element(
            result.reports.begin(),
            result.reports.begin() + max_domain_reports,
            result.reports.end(),
            [](upstream_report const& left, upstream_report const& right)
            {
                return left.in_flight + std::abs(left.evidence) >
                       right.in_flight + std::abs(right.evidence);
            });
        result.reports.resize(max_domain_reports);
    }
    return result;
}

bool domain_relay::is_news(domain_report const& report)
{
    if (report.domain == own_)
        return false;
    auto& domain = others_[report.domain];
    std::pair const number(report.incarnation, report.sequence);
    // Another speaker has taken over if its incarnation differs.
    if (number.first == domain.heard.first &&
        number.second <= domain.heard.second)
        return false;
    domain.heard = number;
    return true;
}

} // namespace kumquatloom::hosting
