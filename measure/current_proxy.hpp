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

/// An entry instance that uses the project's own routing and health classes.
class current_proxy
{
public:
    /// Whether the proxy detects wrong responses.
    static constexpr bool verifies_responses = true;
    /// Whether instances exchange health evidence.
    static constexpr bool shares_evidence = true;

    current_proxy(scenario const& setup, unsigned instance);

    /// Chooses an upstream for an attempt. Returns false if none is available.
    bool choose(simulated_attempt& attempt,
                std::uint64_t random,
                core::time_point now);
    /// Reports the result of an attempt to the picker.
    void finish_attempt(simulated_attempt const& attempt,
                        health::attempt_result result,
                        core::time_point now);
    /// Whether a failed request is retried: section 5.5 of the design, without
    /// the retry budget and hedging.
    bool may_retry(simulated_request const& request,
                   health::attempt_result result) const;
    /// Reads the platform's current list of upstreams.
    void update_list(core::time_point now);
    /// Marks an upstream that announced that it leaves.
    void on_leaving(unsigned upstream);
    /// The periodic work of the control thread, every 100 ms.
    void tick(core::time_point now);
    /// Whether this instance has ejected an upstream.
    bool is_ejected(unsigned upstream, core::time_point now) const;
    /// Whether this instance avoids an upstream.
    bool is_avoided(unsigned upstream, core::time_point now) const;

    /// The health monitor, for evidence and probes.
    health::health_monitor& monitor()
    {
        return *monitor_;
    }
    /// The ejection ledger, to which the simulated log is applied.
    health::ejection_ledger& ledger()
    {
        return ledger_;
    }
    /// The record that this instance proposes to append to the log, if any.
    std::optional<health::ejection_proposer::proposal>
    propose(core::time_point now);

private:
    boost::intrusive_ptr<routing::upstream> find(unsigned upstream) const;
    health::upstream_standing standing(unsigned upstream,
                                       core::time_point now) const;

    /// Parameters of the run.
    scenario const& scenario_;
    /// Number of this instance.
    unsigned instance_;
    /// Chooses upstreams from the published upstream table.
    std::unique_ptr<routing::picker> picker_;
    /// Detects outliers from attempts, probes and the peers' evidence.
    std::unique_ptr<health::health_monitor> monitor_;
    /// Ejections recorded in the log.
    health::ejection_ledger ledger_;
    /// Proposes ejections and releases.
    health::ejection_proposer proposer_;
    /// Limits ejections so that enough upstreams stay in service.
    health::ejection_limiter limiter_;
    /// Upstreams by number.
    std::vector<boost::intrusive_ptr<routing::upstream>> upstreams_;
};

} // namespace kumquatloom::measure

#endif
