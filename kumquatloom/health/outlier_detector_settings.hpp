#ifndef KUMQUATLOOM_HEALTH_OUTLIER_DETECTOR_SETTINGS_HPP
#define KUMQUATLOOM_HEALTH_OUTLIER_DETECTOR_SETTINGS_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/document/document.hpp>

namespace kumquatloom::health
{

/// Evidence required to avoid or eject an upstream. Scores are natural
/// logarithms of likelihood ratios (see outlier_detector).
struct outlier_detector_settings
{
    /// Multiple of the median latency of the other upstreams above which a
    /// success is late.
    double late_factor = 4;
    /// Score from which an upstream is avoided.
    double avoid_score = 16;
    /// Score from which an upstream may be ejected.
    double eject_score = 16;
    /// Minimum number of bad attempts to avoid an upstream, whatever the score.
    unsigned min_bad_attempts = 4;
    /// Minimum number of observers with bad attempts if the evidence includes
    /// that of peers.
    unsigned min_observers = 2;
    /// Minimum time that an upstream is avoided before it may be ejected.
    core::duration min_avoided_time{};
    /// Time over which the weight of a recovering upstream rises to 1.
    core::duration recovery_time{};

    /// Returns the settings of a detection level of the document.
    static outlier_detector_settings for_level(document::detection_level level);
};

} // namespace kumquatloom::health

#endif
