#ifndef KUMQUATLOOM_HOSTING_UPSTREAM_REPORT_HPP
#define KUMQUATLOOM_HOSTING_UPSTREAM_REPORT_HPP

#include <cstdint>

namespace kumquatloom::hosting
{

/// What an instance tells its neighbours about one upstream.
struct upstream_report
{
    /// Hash of the upstream's id.
    std::uint32_t upstream = 0;
    /// Requests of the sender that are in flight there.
    std::uint8_t in_flight = 0;
    /// Evidence since the last heartbeat, in tenths of a log-odds unit.
    std::int16_t evidence = 0;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, in_flight, evidence);
    }
};

} // namespace kumquatloom::hosting

#endif
