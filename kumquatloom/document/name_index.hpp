#ifndef KUMQUATLOOM_DOCUMENT_NAME_INDEX_HPP
#define KUMQUATLOOM_DOCUMENT_NAME_INDEX_HPP

#include <kumquatloom/document/name_table.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace kumquatloom::document
{

/// Maps names to the numbers of the sections that may define them, using 8
/// bytes per name. Names are hashed, so the caller must check a candidate
/// section for the name itself.
class name_index
{
public:
    /// Adds the names of a section without sorting the index.
    void append(name_table const& names, std::uint16_t section);

    /// Sorts the index after calls of append().
    void sort();

    /// Replaces the names of a section.
    void replace(name_table const& names, std::uint16_t section);

    /// Calls `visit` with the number of each section that may define the name.
    template <typename Visit>
    void each_candidate(std::string_view name, Visit const& visit) const;

    /// Memory of the index in bytes.
    std::size_t memory_bytes() const
    {
        return entries_.capacity() * sizeof(std::uint64_t);
    }

private:
    /// Low bits of an entry, which contain the section number.
    static constexpr std::uint64_t section_mask = 0xFFFF;

    static std::uint64_t entry_of(std::string_view name, std::uint16_t section);
    std::vector<std::uint64_t>::const_iterator
    first_entry(std::string_view name) const;

    /// Entries in ascending order, each with the hash of a name in the upper 48
    /// bits and a section number in the lower 16.
    std::vector<std::uint64_t> entries_;
};

template <typename Visit>
void name_index::each_candidate(std::string_view name, Visit const& visit) const
{
    std::uint64_t const target = entry_of(name, 0);
    for (auto entry = first_entry(name);
         entry != entries_.end() && (*entry & ~section_mask) == target;
         ++entry)
        visit(static_cast<std::uint16_t>(*entry & section_mask));
}

} // namespace kumquatloom::document

#endif
