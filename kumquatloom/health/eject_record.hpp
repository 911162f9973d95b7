#ifndef KUMQUATLOOM_HEALTH_EJECT_RECORD_HPP
#define KUMQUATLOOM_HEALTH_EJECT_RECORD_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::health
{

/// Log record that ejects an upstream.
struct eject_record
{
    /// Random id by which the writer recognises its record when it reads the
    /// log.
    std::string id;
    /// The service of the upstream.
    core::service_name service;
    /// The upstream to eject.
    core::upstream_id upstream;
    /// Slot of the service's ejection budget that the ejection occupies.
    std::uint32_t slot = 0;
    /// Log offset of the last release of the slot; 0 if the slot was never
    /// released. The record is rejected if the slot's last release differs when
    /// the record is applied.
    core::log_offset release = 0;

    friend bool operator==(eject_record const&, eject_record const&) = default;
};

} // namespace kumquatloom::health

#endif
