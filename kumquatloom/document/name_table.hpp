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

/// An immutable list of names, stored in one buffer with an overhead of 4 bytes
/// per name.
class name_table
{
public:
    name_table() = default;

    /// Copies the names in the given order. find() requires them to be sorted.
    explicit name_table(std::vector<std::string_view> const& names);

    /// Number of names.
    std::size_t size() const
    {
        return ends_.size();
    }

    /// The name at a position.
    std::string_view operator[](std::size_t index) const;

    /// Position of a name in a sorted table, or std::nullopt.
    std::optional<std::uint32_t> find(std::string_view name) const;

    /// Memory of the table in bytes.
    std::size_t memory_bytes() const;

private:
    /// All names, concatenated.
    std::string characters_;
    /// End of each name in characters_.
    std::vector<std::uint32_t> ends_;
};

} // namespace kumquatloom::document

#endif
