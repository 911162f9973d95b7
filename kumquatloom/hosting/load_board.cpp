#include <kumquatloom/hosting/load_board.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquatloom::hosting
{

namespace
{

/// Age above which a domain's report says nothing: about two reports between
/// regions, or three service times.
constexpr std::chrono::milliseconds report_life{1500};

void add(std::vector<upstream_report> const& reports, load_totals& totals)
{
    for (auto const& item : reports)
        totals[item.upstream] += item.in_flight;
}

} // namespace

void load_board::tell(std::string const& host,
                      std::vector<upstream_report> reports)
{
    neighbours_[host] = std::move(reports);
}

void load_board::tell_domain(core::failure_domain const& domain,
                             std::vector<upstream_report> reports,
                             core::time_point now)
{
    domains_[domain] = {std::move(reports), now};
}

void load_board::keep(std::vector<std::string> const& hosts,
                      core::time_point now)
{
    std::erase_if(neighbours_,
                  [&](auto const& item)
                  {
                      return std::find(hosts.begin(),
                                       hosts.end(),
                                       item.first) == hosts.end();
                  });
    std::erase_if(domains_,
                  [&](auto const& item)
                  {
                      return now - item.second.received > report_life;
                  });
}

load_totals load_board::neighbours() const
{
    load_totals totals;
    for (auto const& [host, reports] : neighbours_)
        add(reports, totals);
    return totals;
}

load_totals load_board::totals() const
{
    auto totals = neighbours();
    for (auto const& [domain, load] : domains_)
        add(load.reports, totals);
    return totals;
}

} // namespace kumquatloom::hosting
