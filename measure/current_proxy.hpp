#ifndef KUMQUATLOOM_MEASURE_CURRENT_PROXY_HPP
#define KUMQUATLOOM_MEASURE_CURRENT_PROXY_HPP

#include <kumquatloom/health/ejection_ledger.hpp>
#include <kumquatloom/health/ejection_limiter.hpp>
#include <kumquatloom/health/ejection_proposer.hpp>
#include <kumquatloom/health/health_monitor.hpp>
#include <kumquatloom/routing/picker.hpp>

#include <cstdint>
#include <measure/attempt.hpp>
#include <measure/scenario.hpp>
#include <optional>

namespace kumquatloom::measure
{

/// An entry instance that decides with the project's own classes.
class current_proxy
{
public:
    /// Whether wrong answers are recognised.
    static constexpr bool verifies = true;
    /// Whether instances exchange evidence.
    static constexpr bool shares_evidence = true;

    current_proxy(scenario const& setup, unsigned instance);

    /// Chooses an upstream for an attempt; false if there is none.
    bool
    choose(attempt_state& attempt, std::uint64_t random, core::time_point now);
    /// Takes the result of an attempt.
    void finish_attempt(attempt_state const& attempt,
                        health::attempt_result result,
                        core::time_point now);
    /// Whether a failed request is tried again (section 5.5 of the design,
    /// without budget and hedging).
    bool may_retry(request_state const& request,
                   health::attempt_result result) const;
    /// Takes over the platform's list.
    void relist(core::time_point now);
    /// Takes a notice that an upstream leaves.
    void note_leaving(unsigned upstream);
    /// What the control thread does every 100 ms.
    void tick(core::time_point now);
    /// Whether an upstream gets no work here.
    bool ejects(unsigned upstream, core::time_point now) const;
    /// Whether an upstream is avoided here.
    bool avoids(unsigned upstream, core::time_point now) const;

    /// The monitor, for evidence and probes.
    health::health_monitor& monitor()
    {
        return *monitor_;
    }
    /// The ledger, which the simulated log feeds.
    health::ejection_ledger& ledger()
    {
        return ledger_;
    }
    /// The record that this instance wants to append.
    std::optional<health::ejection_proposer::proposal>
    propose(core::time_point now);

private:
    boost::intrusive_ptr<routing::upstream> find(unsigned upstream) const;
    health::upstream_standing standing(unsigned upstream,
                                       core::time_point now) const;

    /// What is measured.
    scenario const& setup_;
    /// The number of this instance.
    unsigned instance_;
    /// Keeps the table.
    std::unique_ptr<routing::picker> picker_;
    /// Collects evidence.
    std::unique_ptr<health::health_monitor> monitor_;
    /// Ejections by the log.
    health::ejection_ledger ledger_;
    /// Proposes ejections.
    health::ejection_proposer proposer_;
    /// Keeps the floor.
    health::ejection_limiter guard_;
    /// Upstreams by number.
    std::vector<boost::intrusive_ptr<routing::upstream>> objects_;
};

} // namespace kumquatloom::measure

#endif
