#ifndef KUMQUATLOOM_DOCUMENT_DOCUMENT_INDEX_HPP
#define KUMQUATLOOM_DOCUMENT_DOCUMENT_INDEX_HPP

#include <kumquatloom/core/fault.hpp>
#include <kumquatloom/document/name_index.hpp>
#include <kumquatloom/document/reduced_document.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::document
{

/// Finds the section that defines a service, organisation or route prefix, so
/// that a changed section is checked against the others without parsing them
/// again.
class document_index
{
public:
    document_index() = default;

    /// Indexes all sections.
    explicit document_index(reduced_document const& reduced);

    /// Adds the faults that the document would have if the section were
    /// replaced by the candidate, or removed if the candidate is null.
    void check(reduced_document const& reduced,
               std::string const& name,
               section const* candidate,
               core::fault_list& faults) const;

    /// Replaces a section by the candidate, or removes it if the candidate is
    /// null.
    void replace(std::string const& name, section const* candidate);

    /// Memory of the index in bytes.
    std::size_t memory_bytes() const;

private:
    /// Returns the name of a section other than `own` that defines `name`, or
    /// an empty string.
    template <typename Defines>
    std::string_view other_section_defining(name_index const& index,
                                            std::string_view name,
                                            std::string_view own,
                                            Defines const& defines) const;
    void check_names(std::string const& name,
                     section const& candidate,
                     core::fault_list& faults) const;
    void check_prefixes(std::string const& name,
                        section const& candidate,
                        core::fault_list& faults) const;
    void check_references(std::string const& name,
                          section const& candidate,
                          core::fault_list& faults) const;
    void check_removed_names(reduced_document const& reduced,
                             std::string const& name,
                             section const* candidate,
                             core::fault_list& faults) const;
    std::uint16_t number_of(std::string const& name);

    /// A section, stored in sections_ at the position of its number.
    struct numbered_section
    {
        /// Name of the section.
        std::string name;
        /// Content of the section; null if the number is free.
        section const* content = nullptr;
    };

    /// Numbers by section name.
    std::map<std::string, std::uint16_t, std::less<>> section_numbers_;
    /// Sections by number.
    std::vector<numbered_section> sections_;
    /// Numbers of removed sections, for reuse.
    std::vector<std::uint16_t> free_numbers_;
    /// Services of all sections.
    name_index services_;
    /// Organisations of all sections.
    name_index organisations_;
    /// Route prefixes of all sections.
    name_index prefixes_;
};

/// Adds the faults of the whole document that involve several of its parts,
/// such as duplicate names and missing references.
void check_document(reduced_document const& reduced,
                    document_index const& index,
                    core::fault_list& faults);

/// Adds the faults that the document would have with these owners: a section
/// whose owner has no key, or a missing platform key.
void check_owners(reduced_document const& reduced,
                  owner_keys const& owners,
                  core::fault_list& faults);

} // namespace kumquatloom::document

#endif
