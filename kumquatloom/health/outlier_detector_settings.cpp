#include <kumquatloom/health/outlier_detector_settings.hpp>

#include <boost/assert.hpp>

#include <array>
#include <chrono>
#include <cstddef>

namespace kumquatloom::health
{

namespace
{

using namespace std::chrono_literals;

/// One row per detection level. A sequential test with threshold h raises a
/// false alarm about once in e^h samples of a healthy upstream, so that raising
/// h by 2.3 makes false alarms ten times rarer and requires about half a bad
/// sample more. A higher late factor misses upstreams that are only slightly
/// slow. More observers protect against a fault between one observer and an
/// upstream, and cost one exchange of evidence (250 ms) at low request rates.
constexpr std::array<outlier_detector_settings, 3> settings_by_level = {{
    // factor, avoid, eject, bad, observers, avoided time, recovery time
    {4, 24, 24, 6, 2, 1s, 10s},
    {5, 28, 30, 8, 3, 2s, 20s},
    {6, 32, 36, 9, 3, 4s, 30s},
}};

} // namespace

outlier_detector_settings
outlier_detector_settings::for_level(document::detection_level level)
{
    auto const row = static_cast<std::size_t>(level);
    BOOST_ASSERT(row < settings_by_level.size());
    return settings_by_level[row];
}

} // namespace kumquatloom::health
