#ifndef KUMQUATLOOM_HEALTH_OUTLIER_DETECTOR_SETTINGS_HPP
#define KUMQUATLOOM_HEALTH_OUTLIER_DETECTOR_SETTINGS_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/document/document.hpp>

namespace kumquatloom::health
{

/// How much evidence against an upstream is asked for. Scores are natural
/// logarithms of likelihood ratios (see outlier_detector).
struct outlier_detector_settings
{
    /// A success is late above this multiple of the other upstreams' median.
    double late_factor = 4;
    /// Score from which an upstream is avoided.
    double avoid_score = 16;
    /// Score from which an upstream may be ejected.
    double eject_score = 16;
    /// Bad attempts from which an upstream is avoided, whatever the score.
    unsigned min_bad = 4;
    /// Observers with bad attempts that evidence of peers must come from.
    unsigned min_observers = 2;
    /// How long an upstream has been avoided before it may be ejected.
    core::duration sustained{};
    /// Time over which the weight of a recovering upstream rises to 1.
    core::duration recovery_time{};

    /// The settings that a level of the document stands for.
    static outlier_detector_settings for_level(document::detection_level level);
};

} // namespace kumquatloom::health

#endif
