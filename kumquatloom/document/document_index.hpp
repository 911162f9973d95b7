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

/// Finds the section that holds a service, organisation or route prefix, and
/// so checks a changed section against the others without parsing them again.
class document_index
{
public:
    document_index() = default;

    /// Indexes all sections.
    explicit document_index(reduced_document const& reduced);

    /// Adds the faults that the document has if the section is replaced by
    /// the candidate, or removed if there is none.
    void check(reduced_document const& reduced,
               std::string const& name,
               section const* candidate,
               core::fault_list& faults) const;

    /// Replaces a section by the candidate, or removes it if there is none.
    void replace(std::string const& name, section const* candidate);

    /// Bytes that the index occupies.
    std::size_t memory_bytes() const;

private:
    /// Tells which section other than `own` holds a name; empty if none.
    template <typename Holds>
    std::string_view other_holder(name_index const& index,
                                  std::string_view name,
                                  std::string_view own,
                                  Holds const& holds) const;
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

    /// A section by its number.
    struct numbered_section
    {
        /// Its name.
        std::string name;
        /// Its content, null if the number is free.
        section const* content = nullptr;
    };

    /// Numbers by section name.
    std::map<std::string, std::uint16_t, std::less<>> numbers_;
    /// Sections by number.
    std::vector<numbered_section> sections_;
    /// Numbers of removed sections, which are used again.
    std::vector<std::uint16_t> free_numbers_;
    /// Services of all sections.
    name_index services_;
    /// Organisations of all sections.
    name_index organisations_;
    /// Route prefixes of all sections.
    name_index prefixes_;
};

/// Adds every fault of the whole document that lies between its parts.
void check_whole(reduced_document const& reduced,
                 document_index const& index,
                 core::fault_list& faults);

/// Adds the faults that the document has with these owners: a section whose
/// owner has no key, or no key of the platform.
void check_owners(reduced_document const& reduced,
                  owner_keys const& owners,
                  core::fault_list& faults);

} // namespace kumquatloom::document

#endif
