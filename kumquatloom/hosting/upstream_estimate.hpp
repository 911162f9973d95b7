#ifndef KUMQUATLOOM_HOSTING_UPSTREAM_ESTIMATE_HPP
#define KUMQUATLOOM_HOSTING_UPSTREAM_ESTIMATE_HPP

#include <cstdint>

namespace kumquatloom::hosting
{

/// What an instance believes of one upstream, for a neighbour that has just
/// started and knows nothing.
struct upstream_estimate
{
    /// Hash of the upstream's id.
    std::uint32_t upstream = 0;
    /// Log-odds that it is sick, in tenths.
    std::int16_t log_odds = 0;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, log_odds);
    }
};

} // namespace kumquatloom::hosting

#endif
