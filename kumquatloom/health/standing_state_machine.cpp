#include <kumquatloom/health/standing_state_machine.hpp>

#include <algorithm>
#include <chrono>

namespace kumquatloom::health
{

namespace
{

using namespace std::chrono_literals;

/// Duration of the first avoidance, and the maximum that repeated avoidance
/// doubles it to (section 5.3 of the design).
constexpr core::duration base_avoidance_time = 5s;
constexpr core::duration max_avoidance_time = 5min;
/// The duration returns to the base once the upstream has been in service for
/// this many times its last avoidance.
constexpr int reset_factor = 4;
/// Consecutive successful probes that allow a readmission, and the maximum age
/// of the last one.
constexpr unsigned readmission_probes = 3;
constexpr core::duration max_probe_age = 10s;
/// Weight at the start of recovery: an upstream of an idle service still gets a
/// request within seconds.
constexpr double initial_weight = 0.1;

} // namespace

void standing_state_machine::avoid(core::time_point now)
{
    bool const recent = duration_ > core::duration::zero() &&
                        now - ended_ < duration_ * reset_factor;
    duration_ = recent ? std::min(duration_ * 2, max_avoidance_time)
                       : base_avoidance_time;
    enter(upstream_standing::avoided, now);
}

void standing_state_machine::recover(core::time_point now)
{
    ended_ = now;
    duration_ = std::max(duration_, base_avoidance_time);
    enter(upstream_standing::recovering, now);
}

void standing_state_machine::eject(core::time_point now)
{
    enter(upstream_standing::ejected, now);
}

void standing_state_machine::add_probe_result(bool ok, core::time_point now)
{
    last_probe_ = now;
    probes_ok_ = ok ? probes_ok_ + 1 : 0;
}

bool standing_state_machine::advance(core::duration recovery_time,
                                     core::time_point now)
{
    if (standing_ == upstream_standing::recovering &&
        now - since_ >= recovery_time)
        enter(upstream_standing::normal, now);
    if (standing_ != upstream_standing::avoided || now - since_ < duration_)
        return false;
    // Once its duration has passed, avoidance ends after a successful probe.
    // Without any probe results it ends after twice its duration.
    bool const probe_ok = probes_ok_ > 0 && last_probe_ >= since_;
    bool const unprobed = last_probe_ < since_ && now - since_ >= 2 * duration_;
    if (!probe_ok && !unprobed)
        return false;
    recover(now);
    return true;
}

bool standing_state_machine::probes_allow_readmission(
    core::time_point now) const
{
    return probes_ok_ >= readmission_probes &&
           now - last_probe_ < max_probe_age;
}

double standing_state_machine::weight(core::duration recovery_time,
                                      core::time_point now) const
{
    if (standing_ != upstream_standing::recovering)
        return 1;
    double const progress = std::chrono::duration<double>(now - since_) /
                            std::chrono::duration<double>(recovery_time);
    return std::clamp(
        initial_weight + (1 - initial_weight) * progress, initial_weight, 1.0);
}

void standing_state_machine::enter(upstream_standing standing,
                                   core::time_point now)
{
    standing_ = standing;
    since_ = now;
    probes_ok_ = 0;
}

} // namespace kumquatloom::health
