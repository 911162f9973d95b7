#ifndef KUMQUATLOOM_DOCUMENT_REDUCED_DOCUMENT_HPP
#define KUMQUATLOOM_DOCUMENT_REDUCED_DOCUMENT_HPP

#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/fault.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/document/section.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace kumquatloom::core
{
class json_reader;
} // namespace kumquatloom::core

namespace kumquatloom::document
{

/// Most sections of a document, since the index of names numbers them with
/// 16 bits.
inline constexpr std::size_t max_sections = 60000;

/// Public keys of the owners by name.
using owner_keys = std::map<std::string, std::string, std::less<>>;

/// Expected entry instances by region.
using expected_instances = std::map<core::region, unsigned>;

/// A section with the version that it was last changed in.
struct section_state
{
    /// The content, shared between versions of the document.
    boost::intrusive_ptr<section const> content;
    /// Offset of the edit that changed it last.
    core::log_offset version = 0;
    /// Digest of the section's line in a snapshot.
    core::sha256_digest digest{};
};

/// The document in compact form. Copies share the sections.
struct reduced_document
{
    /// Whether a document was created.
    bool created = false;
    /// Offset of the last accepted edit.
    core::log_offset version = 0;
    /// Offset of the last edit that removed a section.
    core::log_offset removal_version = 0;
    /// Public keys by owner.
    owner_keys owners;
    /// Offset of the last edit of the owners.
    core::log_offset owners_version = 0;
    /// Expected sizes of the fleet.
    expected_instances expected_entry_instances;
    /// Offset of the last edit of the expected sizes.
    core::log_offset fleet_version = 0;
    /// Sections by name.
    std::map<std::string, section_state, std::less<>> sections;

    /// Bytes that the sections occupy.
    std::size_t memory_bytes() const;
};

/// Reads the members of the `owners` part, one per owner.
owner_keys read_owners(core::json_reader& parent);

/// Reads the members of the `fleet` part.
expected_instances read_fleet(core::json_reader& fleet);

/// The `owners` part as JSON text.
std::string to_text(owner_keys const& owners);

/// The `fleet` part as JSON text.
std::string to_text(expected_instances const& expected);

/// Parses a whole document, checks every part of it alone, and packs it.
/// References between sections are checked by document_index.
reduced_document parse_parts(std::string_view text, core::fault_list& faults);

/// Writes the digest of a section's line in a snapshot into its state.
void seal(std::string const& name, section_state& state);

/// The document in the plain form that the request path is built from. At the
/// full size use the sections themselves, since names are copied here.
boost::intrusive_ptr<document> expand(reduced_document const& reduced);

/// The whole document as JSON text, or one part of it if a name is given;
/// empty if there is no such part.
std::string to_text(reduced_document const& reduced,
                    std::string_view part = {});

} // namespace kumquatloom::document

#endif
