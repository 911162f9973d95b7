#ifndef KUMQUATLOOM_LIMITS_QUOTA_UPDATE_HPP
#define KUMQUATLOOM_LIMITS_QUOTA_UPDATE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/quota_count.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace kumquatloom::limits
{

/// What a source, an instance or a failure domain, reports about its use of the
/// quotas.
struct quota_update
{
    /// Identifies the process start of the sender, and with it the start of its
    /// counts.
    core::incarnation incarnation = 0;
    /// Increases with each update of the incarnation.
    std::uint32_t sequence = 0;
    /// Time since the process start.
    std::chrono::milliseconds uptime{0};
    /// Number of instances that the source stands for, and how many of them the
    /// sender does not observe.
    std::uint16_t instances = 1;
    std::uint16_t unobserved = 0;
    /// Whether the sender is shutting down.
    bool leaving = false;
    /// Sources that the sender does not observe; see quota_key(). A source that
    /// finds itself here knows that its counts do not arrive.
    std::vector<std::uint32_t> unheard;
    /// Counts that changed, and some of the others.
    std::vector<quota_count> counts;
};

} // namespace kumquatloom::limits

#endif
