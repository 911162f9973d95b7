#ifndef KUMQUATLOOM_DOCUMENT_EJECT_RECORD_HPP
#define KUMQUATLOOM_DOCUMENT_EJECT_RECORD_HPP

#include <kumquatloom/core/ids.hpp>

#include <optional>
#include <string>

namespace kumquatloom::document
{

/// Takes an upstream out of service for the whole fleet.
struct eject_record
{
    /// Random name of the record; it is applied at most once.
    std::string id;
    /// The service whose budget is used.
    core::service_name service;
    /// The upstream.
    core::upstream_id upstream;
    /// The slot of the service's ejection budget that is claimed.
    std::uint64_t slot = 0;
    /// Offset of the record that released the slot, absent for a slot that
    /// was never used.
    std::optional<core::log_offset> released;

    friend bool operator==(eject_record const&, eject_record const&) = default;
};

} // namespace kumquatloom::document

#endif
