#ifndef KUMQUATLOOM_HOSTING_UPSTREAM_ESTIMATE_HPP
#define KUMQUATLOOM_HOSTING_UPSTREAM_ESTIMATE_HPP

#include <cstdint>

namespace kumquatloom::hosting
{

/// Health estimate of one avoided upstream, sent in reply to a hello message,
/// for example of a neighbour that has just started.
struct upstream_estimate
{
    /// Hash of the upstream's id; see short_hash().
    std::uint32_t upstream = 0;
    /// Log-odds that the upstream is unhealthy, in tenths.
    std::int16_t log_odds = 0;

    /// Serializes the estimate with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, log_odds);
    }
};

} // namespace kumquatloom::hosting

#endif
