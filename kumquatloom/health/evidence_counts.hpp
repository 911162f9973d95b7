#ifndef KUMQUATLOOM_HEALTH_EVIDENCE_COUNTS_HPP
#define KUMQUATLOOM_HEALTH_EVIDENCE_COUNTS_HPP

#include <cstdint>

namespace kumquatloom::health
{

/// Attempts at one upstream by result. Refused and cancelled attempts are not
/// counted: load shedding is not a fault.
struct evidence_counts
{
    /// Complete responses that were not late.
    std::uint32_t ok = 0;
    /// Error responses and failed connections.
    std::uint32_t error = 0;
    /// Attempts without a complete response within their time limit.
    std::uint32_t timeout = 0;
    /// Responses that failed verification or were cut short.
    std::uint32_t wrong = 0;
    /// Complete responses that took far longer than those of other upstreams.
    std::uint32_t late = 0;

    /// Number of failed and late attempts.
    std::uint32_t bad() const
    {
        return error + timeout + wrong + late;
    }

    std::uint32_t total() const
    {
        return ok + bad();
    }

    evidence_counts& operator+=(evidence_counts const& other)
    {
        ok += other.ok;
        error += other.error;
        timeout += other.timeout;
        wrong += other.wrong;
        late += other.late;
        return *this;
    }

    friend evidence_counts operator-(evidence_counts left,
                                     evidence_counts const& right)
    {
        left.ok -= right.ok;
        left.error -= right.error;
        left.timeout -= right.timeout;
        left.wrong -= right.wrong;
        left.late -= right.late;
        return left;
    }

    friend bool operator==(evidence_counts const&,
                           evidence_counts const&) = default;

    /// Whether no count is smaller than in `other`, so that the difference does
    /// not underflow.
    bool includes(evidence_counts const& other) const
    {
        return ok >= other.ok && error >= other.error &&
               timeout >= other.timeout && wrong >= other.wrong &&
               late >= other.late;
    }
};

} // namespace kumquatloom::health

#endif
