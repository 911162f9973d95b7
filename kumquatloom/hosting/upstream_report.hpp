#ifndef KUMQUATLOOM_HOSTING_UPSTREAM_REPORT_HPP
#define KUMQUATLOOM_HOSTING_UPSTREAM_REPORT_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquatloom::hosting
{

/// Load and health evidence of one upstream, from one instance or summed over a
/// failure domain.
struct upstream_report
{
    /// Hash of the upstream's id; see short_hash().
    std::uint32_t upstream = 0;
    /// Requests that the instance or the domain has in flight at the upstream.
    std::uint8_t in_flight = 0;
    /// Change of the log-odds that the upstream is unhealthy since the last
    /// report, in tenths.
    std::int16_t evidence = 0;

    /// Serializes the report with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, in_flight, evidence);
    }
};

/// Keeps at most `count` reports, those with the highest sums of load and
/// absolute evidence. Evidence that is left out accumulates, so each upstream
/// has its turn.
void keep_most_significant(std::vector<upstream_report>& reports,
                           std::size_t count);

} // namespace kumquatloom::hosting

#endif
