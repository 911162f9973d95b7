#include <kumquatloom/health/standing_state_machine.hpp>

#include <algorithm>
#include <chrono>

namespace kumquatloom::health
{

namespace
{

using namespace std::chrono_literals;

/// First and longest time of avoidance (section 5.3 of the design).
constexpr core::duration first_avoidance = 5s;
constexpr core::duration longest_avoidance = 5min;
/// An upstream that stayed well for this many times its last avoidance starts
/// again with the first length.
constexpr int forgiveness_factor = 4;
/// Successful probes in a row that confirm a readmission, and how recent the
/// last one has to be.
constexpr unsigned confirming_probes = 3;
constexpr core::duration probe_age = 10s;
/// Share with which recovery starts. It lets an upstream of an idle service
/// still get a request within seconds.
constexpr double first_weight = 0.1;

} // namespace

void standing_state_machine::begin(core::time_point now)
{
    bool const recent = length_ > core::duration::zero() &&
                        now - ended_ < length_ * forgiveness_factor;
    length_ =
        recent ? std::min(length_ * 2, longest_avoidance) : first_avoidance;
    enter(upstream_standing::avoided, now);
}

void standing_state_machine::end(core::time_point now)
{
    ended_ = now;
    length_ = std::max(length_, first_avoidance);
    enter(upstream_standing::recovering, now);
}

void standing_state_machine::eject(core::time_point now)
{
    enter(upstream_standing::ejected, now);
}

void standing_state_machine::probed(bool ok, core::time_point now)
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
    if (standing_ != upstream_standing::avoided || now - since_ < length_)
        return false;
    // A probe confirms the end. Where nobody probes, a second term of the
    // same length stands in for it.
    bool const probe_ok = probes_ok_ > 0 && last_probe_ >= since_;
    bool const unprobed = last_probe_ < since_ && now - since_ >= 2 * length_;
    if (!probe_ok && !unprobed)
        return false;
    end(now);
    return true;
}

bool standing_state_machine::probes_confirm(core::time_point now) const
{
    return probes_ok_ >= confirming_probes && now - last_probe_ < probe_age;
}

double standing_state_machine::weight(core::duration recovery_time,
                                      core::time_point now) const
{
    if (standing_ != upstream_standing::recovering)
        return 1;
    double const passed = std::chrono::duration<double>(now - since_) /
                          std::chrono::duration<double>(recovery_time);
    return std::clamp(
        first_weight + (1 - first_weight) * passed, first_weight, 1.0);
}

void standing_state_machine::enter(upstream_standing standing,
                                   core::time_point now)
{
    standing_ = standing;
    since_ = now;
    probes_ok_ = 0;
}

} // namespace kumquatloom::health
