#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/document/name_index.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquatloom::document
{

std::uint64_t name_index::entry_of(std::string_view name, std::uint16_t section)
{
    return (core::stable_hash(name) & ~section_mask) | section;
}

std::vector<std::uint64_t>::const_iterator
name_index::first_entry(std::string_view name) const
{
    return std::lower_bound(
        entries_.begin(), entries_.end(), entry_of(name, 0));
}

void name_index::append(name_table const& names, std::uint16_t section)
{
    for (std::size_t i = 0; i < names.size(); ++i)
        entries_.push_back(entry_of(names[i], section));
}

void name_index::sort()
{
    std::sort(entries_.begin(), entries_.end());
    entries_.shrink_to_fit();
}

void name_index::replace(name_table const& names, std::uint16_t section)
{
    std::vector<std::uint64_t> added;
    added.reserve(names.size());
    for (std::size_t i = 0; i < names.size(); ++i)
        added.push_back(entry_of(names[i], section));
    std::sort(added.begin(), added.end());
    std::erase_if(entries_,
                  [&](std::uint64_t entry)
                  {
                      return (entry & section_mask) == section;
                  });
    // Merging into a new vector leaves no spare capacity allocated.
    std::vector<std::uint64_t> merged;
    merged.reserve(entries_.size() + added.size());
    std::merge(entries_.begin(),
               entries_.end(),
               added.begin(),
               added.end(),
               std::back_inserter(merged));
    entries_ = std::move(merged);
}

} // namespace kumquatloom::document
