#ifndef KUMQUATLOOM_DOCUMENT_READMIT_RECORD_HPP
#define KUMQUATLOOM_DOCUMENT_READMIT_RECORD_HPP

#include <kumquatloom/core/ids.hpp>

#include <string>

namespace kumquatloom::document
{

/// Log record that readmits an ejected upstream and releases its slot.
struct readmit_record
{
    /// Random id of the record. Records with the same id are applied once.
    std::string id;
    /// The service whose ejection slot is released.
    core::service_name service;
    /// The upstream.
    core::upstream_id upstream;
    /// The slot that the upstream occupies.
    std::uint64_t slot = 0;
    /// Offset of the ejection that this record ends, so that a delayed
    /// duplicate does not end a newer ejection.
    core::log_offset ejection = 0;

    friend bool operator==(readmit_record const&,
                           readmit_record const&) = default;
};

} // namespace kumquatloom::document

#endif
