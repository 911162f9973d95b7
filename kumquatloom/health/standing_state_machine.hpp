#ifndef KUMQUATLOOM_HEALTH_STANDING_STATE_MACHINE_HPP
#define KUMQUATLOOM_HEALTH_STANDING_STATE_MACHINE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/health/upstream_standing.hpp>

namespace kumquatloom::health
{

/// State machine of one upstream's standing as one instance decides it: normal,
/// avoided or ejected, then recovering.
class standing_state_machine
{
public:
    /// Enters the avoided standing. The duration is twice the last one if that
    /// avoidance ended recently.
    void avoid(core::time_point now);
    /// Ends avoidance or ejection and enters recovery.
    void recover(core::time_point now);
    /// Enters the ejected standing after an ejection record in the log.
    void eject(core::time_point now);
    /// Adds the result of a health probe.
    void add_probe_result(bool ok, core::time_point now);
    /// Makes the transitions that are due: avoided to recovering, recovering to
    /// normal. Returns whether avoidance ended.
    bool advance(core::duration recovery_time, core::time_point now);

    upstream_standing standing() const
    {
        return standing_;
    }

    /// When the current standing was entered.
    core::time_point since() const
    {
        return since_;
    }

    /// Whether enough consecutive probes have succeeded since the ejection to
    /// readmit the upstream.
    bool probes_allow_readmission(core::time_point now) const;

    /// Fraction of its full load that the upstream should receive, 0 to 1.
    double weight(core::duration recovery_time, core::time_point now) const;

private:
    /// Enters a standing and resets the count of successful probes.
    void enter(upstream_standing standing, core::time_point now);

    upstream_standing standing_ = upstream_standing::normal;
    /// When the current standing was entered.
    core::time_point since_;
    /// Duration of the last avoidance; zero before the first one. The end of an
    /// ejection raises it to the base duration.
    core::duration duration_{};
    /// When the last avoidance or ejection ended.
    core::time_point ended_;
    /// Consecutive successful probes since the last change of standing.
    /// Successes before that change do not count, because an upstream with a
    /// gray failure passes its probes.
    unsigned probes_ok_ = 0;
    /// When the last probe was reported.
    core::time_point last_probe_;
};

} // namespace kumquatloom::health

#endif
