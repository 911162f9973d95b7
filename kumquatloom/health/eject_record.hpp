#ifndef KUMQUATLOOM_HEALTH_EJECT_RECORD_HPP
#define KUMQUATLOOM_HEALTH_EJECT_RECORD_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::health
{

/// A log record that takes an upstream out of service.
struct eject_record
{
    /// Random text by which the writer finds its record in the log.
    std::string id;
    /// The service of the upstream.
    core::service_name service;
    /// The upstream to take out.
    core::upstream_id upstream;
    /// The slot of the service's budget that the ejection occupies.
    std::uint32_t slot = 0;
    /// Offset of the last release of the slot; 0 if it was never used.
    core::log_offset release = 0;

    friend bool operator==(eject_record const&, eject_record const&) = default;
};

} // namespace kumquatloom::health

#endif
