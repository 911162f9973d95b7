#ifndef KUMQUATLOOM_HEALTH_READMIT_RECORD_HPP
#define KUMQUATLOOM_HEALTH_READMIT_RECORD_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::health
{

/// Log record that ends an ejection and releases its slot.
struct readmit_record
{
    /// Random id by which the writer recognises its record when it reads the
    /// log.
    std::string id;
    /// The service of the upstream.
    core::service_name service;
    /// The upstream to readmit.
    core::upstream_id upstream;
    /// Slot that the ejection occupies.
    std::uint32_t slot = 0;
    /// Log offset of the ejection to end, so that a late duplicate does not end
    /// a newer ejection.
    core::log_offset ejection = 0;

    friend bool operator==(readmit_record const&,
                           readmit_record const&) = default;
};

} // namespace kumquatloom::health

#endif
