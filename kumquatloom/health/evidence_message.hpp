#ifndef KUMQUATLOOM_HEALTH_EVIDENCE_MESSAGE_HPP
#define KUMQUATLOOM_HEALTH_EVIDENCE_MESSAGE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/evidence_counts.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquatloom::health
{

/// Maximum number of entries of one message, so that it fits a datagram of
/// 1,200 bytes together with its frame.
constexpr std::size_t max_evidence_entries = 40;

/// Attempts that one observer counted at one upstream in an export episode. The
/// counts are cumulative within the episode, so that a lost message delays
/// evidence but does not lose it.
struct evidence_entry
{
    /// Low 32 bits of the hash of the upstream's id.
    std::uint32_t upstream = 0;
    /// Number of the episode. A receiver adds the counts of a new episode as a
    /// whole, without subtracting those of the previous one.
    std::uint16_t episode = 0;
    /// Counts of the episode, each below 65,536.
    evidence_counts counts;

    /// Serialises the entry with cereal. Counts are encoded in 16 bits, which
    /// no episode exceeds (see health_monitor).
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
    /// The instance that counted the attempts.
    core::instance_id observer;
    /// The failure domain of the observer.
    core::failure_domain domain;
    /// Sequence number, by which outdated messages are recognised.
    std::uint32_t sequence = 0;
    /// One entry for each exported upstream.
    std::vector<evidence_entry> entries;

    /// Serialises the message with cereal; needs
    /// cereal/types/{string,vector}.hpp.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(service, observer, domain, sequence, entries);
    }
};

} // namespace kumquatloom::health

#endif
