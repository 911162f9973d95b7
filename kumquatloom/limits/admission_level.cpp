#include <kumquatloom/limits/admission_level.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatloom::limits
{

namespace
{

using namespace std::chrono_literals;

/// Age at which the report of an instance is ignored, and at which the level
/// has decayed to nothing if no report arrives any more.
constexpr core::duration max_report_age = 1s;
/// Age of the last report from which the level decays.
constexpr core::duration decay_start = 500ms;
/// Bound on the instances whose reports are kept. They are a sample: the share
/// of requests that must be refused does not depend on its size.
constexpr std::size_t max_sources = 64;
/// Queueing delay that the level aims at. Without any, slots could stay free.
constexpr std::chrono::duration<double> wanted_delay = 20ms;
/// Time in which a deviation from the wanted delay is made up for.
constexpr std::chrono::duration<double> correction_time = 200ms;
/// Time constant of the smoothing, a few report intervals.
constexpr std::chrono::duration<double> smoothing_time = 150ms;
/// Below this rate of slots of the sample, per second, nothing is known.
constexpr double min_slots_per_s = 1;
/// A priority with fewer requests per second is not in use.
constexpr double min_arrivals_per_s = 0.5;

} // namespace

double wanted_admission_level(room_report const& sum)
{
    if (sum.slots_per_s < min_slots_per_s)
        return 0;
    std::chrono::duration<double> const delay(sum.waiting / sum.slots_per_s);
    // Requests that may be admitted per second.
    double room =
        sum.slots_per_s * (1 + (wanted_delay - delay) / correction_time);
    double level = 0;
    bool has_more_urgent = false;
    for (double const arrivals : sum.arrivals_per_s)
    {
        // A priority without arrivals is refused if there is no room for it.
        double const admitted = arrivals > 0
                                    ? std::clamp(room / arrivals, 0.0, 1.0)
                                : room > 0 ? 1.0
                                           : 0.0;
        if (has_more_urgent)
            level += 1 - admitted;
        room -= arrivals;
        has_more_urgent = has_more_urgent || arrivals >= min_arrivals_per_s;
    }
    return level;
}

void admission_level::record(std::uint32_t source,
                             core::incarnation sender,
                             std::uint32_t sequence,
                             room_report const& report,
                             core::time_point now)
{
    if (!sources_.contains(source) && sources_.size() >= max_sources)
        erase_oldest();
    auto& state = sources_[source];
    if (state.sender == sender && sequence <= state.sequence)
        return;
    state = {sender, sequence, report, now};
    last_received_ = std::max(last_received_, now);
}

void admission_level::update(room_report const& own, core::time_point now)
{
    std::erase_if(sources_,
                  [now](auto const& item)
                  {
                      return now - item.second.received > max_report_age;
                  });
    double const wanted =
        sources_.empty() ? 0 : wanted_admission_level(sum(own, now));
    double const weight =
        1 - std::exp(-std::chrono::duration<double>(now - updated_at_) /
                     smoothing_time);
    level_ += (wanted - level_) * std::clamp(weight, 0.0, 1.0);
    updated_at_ = now;
}

bool admission_level::refuses(priority value,
                              core::duration slack,
                              core::time_point now)
{
    auto const index = static_cast<std::size_t>(value);
    double const rank = slack_[index].rank(slack);
    auto const lower = static_cast<double>(levels - 1 - index);
    return rank < this->value(now) - lower;
}

double admission_level::value(core::time_point now) const
{
    if (sources_.empty() || now - last_received_ >= max_report_age)
        return 0;
    std::chrono::duration<double> const left =
        max_report_age - (now - last_received_);
    return level_ * std::min(1.0, left / (max_report_age - decay_start));
}

std::size_t admission_level::sources(core::time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(sources_.begin(),
                      sources_.end(),
                      [now](auto const& item)
                      {
                          return now - item.second.received <= max_report_age;
                      }));
}

void admission_level::erase_oldest()
{
    sources_.erase(std::min_element(sources_.begin(),
                                    sources_.end(),
                                    [](auto const& left, auto const& right)
                                    {
                                        return left.second.received <
                                               right.second.received;
                                    }));
}

room_report admission_level::sum(room_report const& own,
                                 core::time_point now) const
{
    auto result = own;
    for (auto const& [number, state] : sources_)
    {
        if (now - state.received > max_report_age)
            continue;
        for (std::size_t i = 0; i < levels; ++i)
            result.arrivals_per_s[i] += state.report.arrivals_per_s[i];
        result.waiting += state.report.waiting;
        result.slots_per_s += state.report.slots_per_s;
    }
    return result;
}

} // namespace kumquatloom::limits
