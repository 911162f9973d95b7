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

/// Maximum number of sections in a document. name_index stores section numbers
/// in 16 bits.
inline constexpr std::size_t max_sections = 60000;

/// Ed25519 public keys by owner name.
using owner_keys = std::map<std::string, std::string, std::less<>>;

/// Expected number of entry instances by region.
using expected_instances = std::map<core::region, unsigned>;

/// A section with the document version that last changed it.
struct section_state
{
    /// The content, shared between versions of the document.
    boost::intrusive_ptr<section const> content;
    /// Offset of the edit that last changed the section.
    core::log_offset version = 0;
    /// Digest of the section's name, version and content.
    core::sha256_digest digest{};
};

/// The document in the compact form of the reducer. Copies share the sections.
struct reduced_document
{
    /// Whether a document has been created.
    bool created = false;
    /// Offset of the last accepted edit.
    core::log_offset version = 0;
    /// Offset of the last edit that removed a section, or of the edit that
    /// created the document.
    core::log_offset removal_version = 0;
    /// Public keys by owner.
    owner_keys owners;
    /// Offset of the last edit of the owners.
    core::log_offset owners_version = 0;
    /// Expected number of entry instances by region.
    expected_instances expected_entry_instances;
    /// Offset of the last edit of expected_entry_instances.
    core::log_offset fleet_version = 0;
    /// Sections by name.
    std::map<std::string, section_state, std::less<>> sections;

    /// Memory of the sections in bytes.
    std::size_t memory_bytes() const;
};

/// Reads the `owners` part, a member of the parent object.
owner_keys read_owners(core::json_reader& parent);

/// Reads the `fleet` part from its own object.
expected_instances read_fleet(core::json_reader& fleet);

/// The `owners` part as JSON text.
std::string to_text(owner_keys const& owners);

/// The `fleet` part as JSON text.
std::string to_text(expected_instances const& expected);

/// Parses a whole document into compact form and checks each part by itself.
/// References between sections are checked by document_index.
reduced_document parse_reduced_document(std::string_view text,
                                        core::fault_list& faults);

/// Computes the digest of a section's name, version and content, and stores it
/// in the section's state.
void update_digest(std::string const& name, section_state& state);

/// Expands the document to the plain form that the request path is built from.
/// This copies all names, so large documents should be read by section.
boost::intrusive_ptr<document> expand(reduced_document const& reduced);

/// The whole document as JSON text, or the named part of it. Returns an empty
/// string if there is no such part.
std::string to_text(reduced_document const& reduced,
                    std::string_view part = {});

} // namespace kumquatloom::document

#endif
