#ifndef KUMQUATLOOM_DOCUMENT_NAME_TABLE_HPP
#define KUMQUATLOOM_DOCUMENT_NAME_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::document
{

/// An immutable list of names in one buffer, with 4 bytes more per name.
class name_table
{
public:
    name_table() = default;

    /// Takes over the names in the given order. find() needs them sorted.
    explicit name_table(std::vector<std::string_view> const& names);

    /// Number of names.
    std::size_t size() const
    {
        return ends_.size();
    }

    /// One name.
    std::string_view operator[](std::size_t index) const;

    /// Position of a name in a sorted table.
    std::optional<std::uint32_t> find(std::string_view name) const;

    /// Bytes that the table occupies.
    std::size_t memory_bytes() const;

private:
    /// All names, one after the other.
    std::string characters_;
    /// Where each name ends.
    std::vector<std::uint32_t> ends_;
};

} // namespace kumquatloom::document

#endif
