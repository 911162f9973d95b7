#ifndef KUMQUATLOOM_HEALTH_READMIT_RECORD_HPP
#define KUMQUATLOOM_HEALTH_READMIT_RECORD_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::health
{

/// A log record that ends an ejection and releases its slot.
struct readmit_record
{
    /// Random text by which the writer finds its record in the log.
    std::string id;
    /// The service of the upstream.
    core::service_name service;
    /// The upstream to put back.
    core::upstream_id upstream;
    /// The slot that the ejection occupies.
    std::uint32_t slot = 0;
    /// Offset of the ejection that ends, so that a late duplicate does not end
    /// a newer one.
    core::log_offset ejection = 0;

    friend bool operator==(readmit_record const&,
                           readmit_record const&) = default;
};

} // namespace kumquatloom::health

#endif
