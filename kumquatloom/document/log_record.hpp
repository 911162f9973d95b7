#ifndef KUMQUATLOOM_DOCUMENT_LOG_RECORD_HPP
#define KUMQUATLOOM_DOCUMENT_LOG_RECORD_HPP

#include <kumquatloom/core/fault.hpp>
#include <kumquatloom/document/edit_record.hpp>
#include <kumquatloom/document/eject_record.hpp>
#include <kumquatloom/document/readmit_record.hpp>
#include <kumquatloom/document/snapshot_record.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace kumquatloom::document
{

/// A log record of any type.
using log_record =
    std::variant<edit_record, snapshot_record, eject_record, readmit_record>;

/// Maximum size of a record text. All instances ignore longer ones.
inline constexpr std::size_t max_record_bytes = 1024 * 1024;

/// The record as JSON text.
std::string to_text(log_record const& record);

/// Parses a record. Returns std::nullopt and adds the faults if it has any.
std::optional<log_record> parse_record(std::string_view text,
                                       core::fault_list& faults);

/// Returns a new random record id.
std::string random_record_id();

} // namespace kumquatloom::document

#endif
