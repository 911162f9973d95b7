#ifndef KUMQUATLOOM_MEASURE_BASELINE_PROXY_HPP
#define KUMQUATLOOM_MEASURE_BASELINE_PROXY_HPP

#include <cstdint>
#include <measure/attempt.hpp>
#include <measure/scenario.hpp>
#include <vector>

namespace kumquatloom::measure
{

/// A conventional proxy, for comparison: round robin over all upstreams, 5
/// consecutive errors eject for 30 s, at most 10% ejected, every instance for
/// itself, 3 tries for every request. It does not verify responses.
class baseline_proxy
{
public:
    /// Whether wrong answers are recognised.
    static constexpr bool verifies = false;
    /// Whether instances exchange evidence.
    static constexpr bool shares_evidence = false;

    baseline_proxy(scenario const& setup, unsigned instance);

    /// Chooses an upstream for an attempt; false if there is none.
    bool
    choose(attempt_state& attempt, std::uint64_t random, core::time_point now);
    /// Takes the result of an attempt.
    void finish_attempt(attempt_state const& attempt,
                        health::attempt_result result,
                        core::time_point now);
    /// Whether a failed request is tried again.
    bool may_retry(request_state const& request,
                   health::attempt_result result) const;
    /// Takes over the platform's list.
    void relist(core::time_point now);
    /// Takes a notice that an upstream leaves; this policy ignores it.
    void note_leaving(unsigned) {}
    void tick(core::time_point) {}
    /// Whether an upstream gets no work here.
    bool ejects(unsigned upstream, core::time_point now) const;
    /// Whether an upstream is avoided here; this policy has no such state.
    bool avoids(unsigned, core::time_point) const
    {
        return false;
    }

private:
    /// State of one upstream.
    struct state
    {
        unsigned consecutive_errors = 0;
        core::time_point ejected_until;
        bool is_listed = true;
    };

    /// What is measured.
    scenario const& setup_;
    /// The upstreams.
    std::vector<state> upstreams_;
    /// Where round robin continues.
    std::size_t next_;
};

} // namespace kumquatloom::measure

#endif
