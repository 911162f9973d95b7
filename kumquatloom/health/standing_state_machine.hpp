#ifndef KUMQUATLOOM_HEALTH_STANDING_STATE_MACHINE_HPP
#define KUMQUATLOOM_HEALTH_STANDING_STATE_MACHINE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/health/upstream_standing.hpp>

namespace kumquatloom::health
{

/// The way of one upstream through avoidance, ejection and recovery, as one
/// instance decides it.
class standing_state_machine
{
public:
    /// Starts to avoid, for twice as long as last time if that was recent.
    void begin(core::time_point now);
    /// Ends avoidance or ejection: the upstream recovers.
    void end(core::time_point now);
    /// Records that the log ejected the upstream.
    void eject(core::time_point now);
    /// Records the result of a health probe.
    void probed(bool ok, core::time_point now);
    /// Moves on with time: avoided to recovering, recovering to normal.
    /// Returns whether avoidance ended.
    bool advance(core::duration recovery_time, core::time_point now);

    /// The present standing.
    upstream_standing standing() const
    {
        return standing_;
    }

    /// Since when it has had this standing.
    core::time_point since() const
    {
        return since_;
    }

    /// Whether probes confirm that an ejected upstream may come back: several
    /// in a row succeeded since the ejection.
    bool probes_confirm(core::time_point now) const;

    /// Share of its usual work that it should get, 0 to 1.
    double weight(core::duration recovery_time, core::time_point now) const;

private:
    /// Changes the standing.
    void enter(upstream_standing standing, core::time_point now);

    /// The present standing.
    upstream_standing standing_ = upstream_standing::normal;
    /// When it was entered.
    core::time_point since_;
    /// Length of the last avoidance; zero if it is long over.
    core::duration length_{};
    /// When the last avoidance or ejection ended.
    core::time_point ended_;
    /// Successful probes since the last failed one and the last change of
    /// standing. Gray failures pass every probe, so that a row of successes
    /// may have begun long before.
    unsigned probes_ok_ = 0;
    /// When the last probe was reported.
    core::time_point last_probe_;
};

} // namespace kumquatloom::health

#endif
