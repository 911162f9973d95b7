#ifndef KUMQUATLOOM_LIMITS_QUOTA_SOURCE_HPP
#define KUMQUATLOOM_LIMITS_QUOTA_SOURCE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <cstdint>

namespace kumquatloom::limits
{

/// Whether a source is an instance of the own failure domain or another failure
/// domain.
enum class quota_source_kind
{
    instance,
    domain
};

/// State of another instance, or of another failure domain, that spends from
/// the same quotas.
struct quota_source
{
    quota_source_kind kind = quota_source_kind::instance;
    /// Process start of the sender of the last update; 0 if none was received.
    core::incarnation incarnation = 0;
    /// Sequence number of the last update.
    std::uint32_t sequence = 0;
    /// When the source was added.
    core::time_point added;
    /// When the last update was received.
    core::time_point last_heard;
    /// When the source last reported that it does not observe this instance.
    core::time_point last_deaf;
    /// Until when a count of an organisation that was not received before may
    /// include requests from before the first update.
    core::time_point baseline_until;
    /// Part of the sender's uptime that this instance has not accounted for
    /// before its first update.
    double unaccounted_fraction = 1;
    /// Length of the last silence, and until when the counts of that time may
    /// arrive.
    core::duration silence{0};
    core::time_point silence_until;
    /// Instances that the source stands for.
    unsigned instances = 1;
    /// Instances of the source that its sender does not observe.
    unsigned unobserved = 0;
    bool leaving = false;
    /// Whether the counts of the source are current.
    bool observed = false;
    /// Start of the current or the last time in which it was not observed.
    core::time_point unobserved_since;
    /// Length of the last time in which it was not observed.
    core::duration unobserved_time{0};
    /// Number of times that the source became observed again.
    std::uint32_t epoch = 0;
};

} // namespace kumquatloom::limits

#endif
