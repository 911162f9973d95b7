#include <kumquatloom/hosting/upstream_report.hpp>

#include <algorithm>
#include <cstdlib>

namespace kumquatloom::hosting
{

void keep_most_significant(std::vector<upstream_report>& reports,
                           std::size_t count)
{
    if (reports.size() <= count)
        return;
    std::nth_element(
        reports.begin(),
        reports.begin() + static_cast<std::ptrdiff_t>(count),
        reports.end(),
        [](upstream_report const& left, upstream_report const& right)
        {
            return left.in_flight + std::abs(left.evidence) >
                   right.in_flight + std::abs(right.evidence);
        });
    reports.resize(count);
}

} // namespace kumquatloom::hosting
