#include <kumquatloom/hosting/remote_load_table.hpp>

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

unsigned load_of(load_totals const& totals, std::uint32_t upstream)
{
    auto const found = totals.find(upstream);
    return found == totals.end() ? 0 : found->second;
}

} // namespace

void remote_load_table::tell(std::string const& host,
                             std::vector<upstream_report> reports)
{
    replace(neighbours_[host], std::move(reports), neighbour_totals_);
}

void remote_load_table::tell_domain(core::failure_domain const& domain,
                                    std::vector<upstream_report> reports,
                                    core::time_point now)
{
    auto& known = domains_[domain];
    known.received = now;
    replace(known.reports, std::move(reports), domain_totals_);
}

void remote_load_table::keep(std::vector<std::string> const& hosts,
                             core::time_point now)
{
    std::erase_if(neighbours_,
                  [&](auto const& item)
                  {
                      bool const gone =
                          std::find(hosts.begin(), hosts.end(), item.first) ==
                          hosts.end();
                      if (gone)
                          subtract(item.second, neighbour_totals_);
                      return gone;
                  });
    std::erase_if(domains_,
                  [&](auto const& item)
                  {
                      bool const old = now - item.second.received > report_life;
                      if (old)
                          subtract(item.second.reports, domain_totals_);
                      return old;
                  });
}

unsigned remote_load_table::total(std::uint32_t upstream) const
{
    return load_of(neighbour_totals_, upstream) +
           load_of(domain_totals_, upstream);
}

std::vector<std::uint32_t> remote_load_table::take_changed()
{
    return std::exchange(changed_, {});
}

void remote_load_table::replace(std::vector<upstream_report>& known,
                                std::vector<upstream_report> next,
                                load_totals& totals)
{
    subtract(known, totals);
    // Evidence alone is no load.
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
    known = std::move(next);
}

void remote_load_table::subtract(std::vector<upstream_report> const& known,
                                 load_totals& totals)
{
    for (auto const& item : known)
    {
        auto const total = totals.find(item.upstream);
        total->second -= item.in_flight;
        if (total->second == 0)
            totals.erase(total);
        changed_.push_back(item.upstream);
    }
}

} // namespace kumquatloom::hosting
