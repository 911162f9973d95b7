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

/// What one observer has shown about one upstream: a score that its bad
/// attempts raise and its good ones lower, never below zero.
class observer_evidence
{
public:
    /// Takes over the domain that the observer reports from.
    void observe_from(core::failure_domain const& domain)
    {
        domain_ = domain;
    }

    /// The attempts that an entry adds to what earlier entries told.
    evidence_counts news_of(evidence_entry const& entry)
    {
        bool const same_episode =
            entry.episode == episode_ && entry.counts.covers(told_);
        auto const news = same_episode ? entry.counts - told_ : entry.counts;
        episode_ = entry.episode;
        told_ = entry.counts;
        return news;
    }

    /// The part of a weight that counts beside other observers. An observer
    /// whose score has reached `cap` has said all that it can: what goes on
    /// failing for it alone must not outweigh what the others see. Its good
    /// attempts use up the score above the cap first.
    double counted_part(double weight, double cap) const
    {
        if (weight > 0)
            return std::min(weight, std::max(0.0, cap - score_));
        return std::min(0.0, weight + std::max(0.0, score_ - cap));
    }

    /// Adds attempts that weigh `weight`, seen at `now`.
    void add(evidence_counts const& counts, double weight, core::time_point now)
    {
        score_ = std::max(0.0, score_ + weight);
        run_ = score_ > 0 ? run_ : evidence_counts{};
        if (score_ > 0)
            run_ += counts;
        if (counts.bad() > 0)
            last_bad_ = now;
    }

    /// Forgets the score, but not what was already told.
    void reset()
    {
        score_ = 0;
        run_ = {};
    }

    /// Evidence against the upstream.
    double score() const
    {
        return score_;
    }

    /// Attempts since the score was last zero.
    evidence_counts const& run() const
    {
        return run_;
    }

    /// When the last bad attempt was added, by the receiver's clock.
    core::time_point last_bad() const
    {
        return last_bad_;
    }

    /// Where the observer is.
    core::failure_domain const& domain() const
    {
        return domain_;
    }

private:
    /// Where the observer is.
    core::failure_domain domain_;
    /// Evidence against the upstream.
    double score_ = 0;
    /// Attempts since the score was last zero.
    evidence_counts run_;
    /// When the last bad attempt was added.
    core::time_point last_bad_;
    /// Counts of the last entry.
    evidence_counts told_;
    /// Episode of the last entry.
    std::uint16_t episode_ = 0;
};

} // namespace kumquatloom::health

#endif
