#include <kumquatloom/hosting/load_board.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::hosting
{

void load_board::tell(std::string const& host,
                      std::vector<upstream_report> reports)
{
    reports_[host] = std::move(reports);
}

void load_board::keep(std::vector<std::string> const& hosts)
{
    std::erase_if(reports_,
                  [&](auto const& item)
                  {
                      return std::find(hosts.begin(),
                                       hosts.end(),
                                       item.first) == hosts.end();
                  });
}

std::unordered_map<std::uint32_t, unsigned> load_board::totals() const
{
    std::unordered_map<std::uint32_t, unsigned> totals;
    for (auto const& [host, reports] : reports_)
        for (auto const& item : reports)
            totals[item.upstream] += item.in_flight;
    return totals;
}

} // namespace kumquatloom::hosting
