#ifndef KUMQUATLOOM_HEALTH_OBSERVER_EVIDENCE_HPP
#define KUMQUATLOOM_HEALTH_OBSERVER_EVIDENCE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/evidence_counts.hpp>
#include <kumquatloom/health/evidence_message.hpp>

#include <algorithm>
#include <cstdint>

namespace kumquatloom::health
{

/// Evidence of one observer about one upstream: a score that bad attempts raise
/// and good ones lower, never below zero (a one-sided CUSUM).
class observer_evidence
{
public:
    /// Sets the failure domain of the observer.
    void assign_domain(core::failure_domain const& domain)
    {
        domain_ = domain;
    }

    /// Returns the attempts in an entry that earlier entries of the same
    /// episode did not contain.
    evidence_counts take_new_counts(evidence_entry const& entry)
    {
        bool const same_episode =
            entry.episode == episode_ && entry.counts.includes(reported_);
        auto const new_counts =
            same_episode ? entry.counts - reported_ : entry.counts;
        episode_ = entry.episode;
        reported_ = entry.counts;
        return new_counts;
    }

    /// Returns the part of a weight that counts towards the combined score. The
    /// contribution of one observer is limited to `cap`, so that failures which
    /// only one observer sees do not outweigh the evidence of the others. Its
    /// good attempts first reduce the part of its score above the cap, which
    /// the combined score does not contain.
    double limited_weight(double weight, double cap) const
    {
        if (weight > 0)
            return std::min(weight, std::max(0.0, cap - score_));
        return std::min(0.0, weight + std::max(0.0, score_ - cap));
    }

    /// Adds attempts with a total weight of `weight`, received at `now`.
    void add(evidence_counts const& counts, double weight, core::time_point now)
    {
        score_ = std::max(0.0, score_ + weight);
        counts_since_zero_ =
            score_ > 0 ? counts_since_zero_ : evidence_counts{};
        if (score_ > 0)
            counts_since_zero_ += counts;
        if (counts.bad() > 0)
            last_bad_ = now;
    }

    /// Resets the score, but keeps the counts of the last entry, so that they
    /// are not added again.
    void reset()
    {
        score_ = 0;
        counts_since_zero_ = {};
    }

    /// Sum of the weights, never below zero.
    double score() const
    {
        return score_;
    }

    /// Attempts since the score was last zero.
    evidence_counts const& counts_since_zero() const
    {
        return counts_since_zero_;
    }

    /// When the last bad attempt was added, by the local clock.
    core::time_point last_bad() const
    {
        return last_bad_;
    }

    /// Failure domain of the observer.
    core::failure_domain const& domain() const
    {
        return domain_;
    }

private:
    /// Failure domain of the observer.
    core::failure_domain domain_;
    /// Sum of the weights, never below zero.
    double score_ = 0;
    /// Attempts since the score was last zero.
    evidence_counts counts_since_zero_;
    /// When the last bad attempt was added.
    core::time_point last_bad_;
    /// Counts of the last entry.
    evidence_counts reported_;
    /// Episode number of the last entry.
    std::uint16_t episode_ = 0;
};

} // namespace kumquatloom::health

#endif
