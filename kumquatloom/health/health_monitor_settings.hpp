#ifndef KUMQUATLOOM_HEALTH_HEALTH_MONITOR_SETTINGS_HPP
#define KUMQUATLOOM_HEALTH_HEALTH_MONITOR_SETTINGS_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/outlier_detector_settings.hpp>

namespace kumquatloom::health
{

/// Identity of a health monitor and its detection settings.
struct health_monitor_settings
{
    core::service_name service;
    /// The instance that runs the monitor.
    core::instance_id observer;
    /// The failure domain of that instance.
    core::failure_domain domain;
    outlier_detector_settings detection;
};

} // namespace kumquatloom::health

#endif
