#ifndef KUMQUATLOOM_DOCUMENT_EDIT_RECORD_HPP
#define KUMQUATLOOM_DOCUMENT_EDIT_RECORD_HPP

#include <kumquatloom/core/ids.hpp>

#include <string>

namespace kumquatloom::document
{

/// Section name of the record that creates the document.
inline constexpr char const* whole_document = "*";
/// Name of the part that holds the owners' public keys.
inline constexpr char const* owners_part = "owners";
/// Name of the part that holds the expected sizes of the fleet.
inline constexpr char const* fleet_part = "fleet";
/// The owner that edits the parts of the document outside the sections.
inline constexpr char const* platform_owner = "platform";

/// Replaces one section of the document.
struct edit_record
{
    /// Random name of the record; it is applied at most once.
    std::string id;
    /// The section, or one of the names above.
    std::string section;
    /// The document version that the edit was made from.
    core::log_offset base = 0;
    /// The owner whose key signed the record.
    std::string author;
    /// The new section as JSON text; empty removes the section.
    std::string content;
    /// Ed25519 signature over signed_bytes().
    std::string signature;

    /// The bytes that the signature covers. The content enters by its digest.
    std::string signed_bytes() const;

    friend bool operator==(edit_record const&, edit_record const&) = default;
};

} // namespace kumquatloom::document

#endif
