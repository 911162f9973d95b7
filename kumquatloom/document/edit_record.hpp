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
/// Name of the part that holds the expected number of instances per region.
inline constexpr char const* fleet_part = "fleet";
/// The owner that creates the document and may edit every part of it.
inline constexpr char const* platform_owner = "platform";

/// Log record that creates the document or replaces one of its sections or
/// parts.
struct edit_record
{
    /// Random id of the record. Records with the same id are applied once.
    std::string id;
    /// Name of the section, or owners_part, fleet_part or whole_document.
    std::string section;
    /// Document version that the edit is based on.
    core::log_offset base = 0;
    /// The owner whose key signed the record.
    std::string author;
    /// The new content as JSON text; empty removes the section.
    std::string content;
    /// Ed25519 signature over signed_bytes().
    std::string signature;

    /// The bytes that the signature covers. They contain the digest of the
    /// content instead of the content.
    std::string signed_bytes() const;

    friend bool operator==(edit_record const&, edit_record const&) = default;
};

} // namespace kumquatloom::document

#endif
