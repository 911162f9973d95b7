#ifndef KUMQUATLOOM_DOCUMENT_EJECT_RECORD_HPP
#define KUMQUATLOOM_DOCUMENT_EJECT_RECORD_HPP

#include <kumquatloom/core/ids.hpp>

#include <optional>
#include <string>

namespace kumquatloom::document
{

/// Log record that ejects an upstream from service for the whole fleet.
struct eject_record
{
    /// Random id of the record. Records with the same id are applied once.
    std::string id;
    /// The service whose ejection budget is used.
    core::service_name service;
    core::upstream_id upstream;
    /// The claimed slot of the service's ejection budget.
    std::uint64_t slot = 0;
    /// Offset of the readmission that last released the slot; absent if the
    /// slot was never used.
    std::optional<core::log_offset> released;

    friend bool operator==(eject_record const&, eject_record const&) = default;
};

} // namespace kumquatloom::document

#endif
