#include <kumquatloom/hosting/remote_load_table.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquatloom::hosting
{

namespace
{

/// Age above which a domain's report is discarded: a few report intervals
/// between regions, or three service times.
constexpr std::chrono::milliseconds domain_report_lifetime{1500};

unsigned total_of(load_totals const& totals, std::uint32_t upstream)
{
    auto const found = totals.find(upstream);
    return found == totals.end() ? 0 : found->second;
}

} // namespace

void remote_load_table::update_neighbour(std::string const& host,
                                         std::vector<upstream_report> reports)
{
    replace(neighbours_[host], std::move(reports), neighbour_totals_);
}

void remote_load_table::update_domain(core::failure_domain const& domain,
                                      std::vector<upstream_report> reports,
                                      core::time_point now)
{
    auto& current = domains_[domain];
    current.received = now;
    replace(current.reports, std::move(reports), domain_totals_);
}

void remote_load_table::retain(std::vector<std::string> const& hosts,
                               core::time_point now)
{
    std::erase_if(neighbours_,
                  [&](auto const& item)
                  {
                      bool const unlisted = !std::binary_search(
                          hosts.begin(), hosts.end(), item.first);
                      if (unlisted)
                          subtract(item.second, neighbour_totals_);
                      return unlisted;
                  });
    std::erase_if(domains_,
                  [&](auto const& item)
                  {
                      bool const expired =
                          now - item.second.received > domain_report_lifetime;
                      if (expired)
                          subtract(item.second.reports, domain_totals_);
                      return expired;
                  });
}

unsigned remote_load_table::total(std::uint32_t upstream) const
{
    return total_of(neighbour_totals_, upstream) +
           total_of(domain_totals_, upstream);
}

std::vector<std::uint32_t> remote_load_table::take_changed()
{
    return std::exchange(changed_, {});
}

void remote_load_table::replace(std::vector<upstream_report>& current,
                                std::vector<upstream_report> next,
                                load_totals& totals)
{
    subtract(current, totals);
    // Reports with evidence only do not affect the totals.
    std::erase_if(next,
                  [](upstream_report const& item)
                  {
                      return item.in_flight == 0;
                  });
    for (auto const& item : next)
    {
        totals[item.upstream] += item.in_flight;
        changed_.push_back(item.upstream);
    }
    current = std::move(next);
}

void remote_load_table::subtract(std::vector<upstream_report> const& current,
                                 load_totals& totals)
{
    for (auto const& item : current)
    {
        auto const total = totals.find(item.upstream);
        total->second -= item.in_flight;
        if (total->second == 0)
            totals.erase(total);
        changed_.push_back(item.upstream);
    }
}

} // namespace kumquatloom::hosting
