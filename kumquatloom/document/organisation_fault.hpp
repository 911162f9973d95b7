#ifndef KUMQUATLOOM_DOCUMENT_ORGANISATION_FAULT_HPP
#define KUMQUATLOOM_DOCUMENT_ORGANISATION_FAULT_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kumquatloom::document
{

/// Why a configuration's entry for an organisation, or one of its credentials,
/// is ignored.
enum class organisation_fault : std::uint8_t
{
    /// The entry is not a row with a value for each column, or not an object.
    unreadable,
    /// The name is missing or can't be sent in a header field.
    bad_name,
    /// An earlier entry has the same name.
    duplicate_name,
    /// The credentials are not a list of texts.
    bad_credentials,
    /// A number has another type or is out of range.
    bad_number,
    /// A single credential is ignored, because no request can carry it.
    unusable_credential,
    count
};

/// Returns the metric label of a fault.
std::string_view to_string(organisation_fault fault);

/// The ignored entries or credentials of a configuration with one fault.
struct ignored_organisations
{
    /// Number of entries or credentials.
    std::size_t count = 0;
    /// Index of the first affected entry.
    std::size_t first_entry = 0;

    friend bool operator==(ignored_organisations const&,
                           ignored_organisations const&) = default;
};

} // namespace kumquatloom::document

#endif
