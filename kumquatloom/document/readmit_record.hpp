#ifndef KUMQUATLOOM_DOCUMENT_READMIT_RECORD_HPP
#define KUMQUATLOOM_DOCUMENT_READMIT_RECORD_HPP

#include <kumquatloom/core/ids.hpp>

#include <string>

namespace kumquatloom::document
{

/// Puts an ejected upstream back into service and releases its slot.
struct readmit_record
{
    /// Random name of the record; it is applied at most once.
    std::string id;
    /// The service whose slot is released.
    core::service_name service;
    /// The upstream.
    core::upstream_id upstream;
    /// The slot that the upstream holds.
    std::uint64_t slot = 0;
    /// Offset of the ejection that ends, so that a late duplicate does not end
    /// a newer one.
    core::log_offset ejection = 0;

    friend bool operator==(readmit_record const&,
                           readmit_record const&) = default;
};

} // namespace kumquatloom::document

#endif
