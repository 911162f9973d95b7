#ifndef KUMQUATLOOM_HEALTH_HEALTH_MONITOR_SETTINGS_HPP
#define KUMQUATLOOM_HEALTH_HEALTH_MONITOR_SETTINGS_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/outlier_detector_settings.hpp>

namespace kumquatloom::health
{

/// Who monitors which service, and how strictly.
struct health_monitor_settings
{
    /// The service that is monitored.
    core::service_name service;
    /// The instance that runs the monitor.
    core::instance_id observer;
    /// Where that instance is.
    core::failure_domain domain;
    /// The evidence that is asked for.
    outlier_detector_settings detection;
};

} // namespace kumquatloom::health

#endif
