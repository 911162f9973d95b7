#ifndef KUMQUATLOOM_HEALTH_EVIDENCE_MESSAGE_HPP
#define KUMQUATLOOM_HEALTH_EVIDENCE_MESSAGE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/evidence_counts.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquatloom::health
{

/// Most entries of one message, so that it fits a datagram of 1,200 bytes
/// with the frame around it.
constexpr std::size_t max_evidence_entries = 40;

/// What one observer counted at one upstream since an episode of interest
/// began. The counts are cumulative: a lost message costs time, not evidence.
struct evidence_entry
{
    /// Low 32 bits of the hash of the upstream's id.
    std::uint32_t upstream = 0;
    /// Number of the episode; the counts start from zero in each.
    std::uint16_t episode = 0;
    /// The counts, each below 65,536.
    evidence_counts counts;

    /// cereal's entry point. Counts travel in 16 bits, which an episode
    /// never exceeds (see health_monitor).
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, episode);
        for (auto* count : {&counts.ok,
                            &counts.error,
                            &counts.timeout,
                            &counts.wrong,
                            &counts.late})
        {
            auto narrow = static_cast<std::uint16_t>(*count);
            archive(narrow);
            *count = narrow;
        }
    }
};

/// Evidence of one observer about the upstreams of one service.
struct evidence_message
{
    /// The service that the upstreams belong to.
    core::service_name service;
    /// The instance that made the observations.
    core::instance_id observer;
    /// The failure domain that it made them from.
    core::failure_domain domain;
    /// Rises with every message, so that a late one is recognised.
    std::uint32_t sequence = 0;
    /// One entry for each upstream of the interest set.
    std::vector<evidence_entry> entries;

    /// cereal's entry point; needs cereal/types/{string,vector}.hpp.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(service, observer, domain, sequence, entries);
    }
};

} // namespace kumquatloom::health

#endif
