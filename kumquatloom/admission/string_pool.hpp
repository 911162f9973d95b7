#ifndef KUMQUATLOOM_ADMISSION_STRING_POOL_HPP
#define KUMQUATLOOM_ADMISSION_STRING_POOL_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::admission
{

/// Stores many short strings in one block of memory, which saves the 32 bytes
/// of a std::string for each. Strings are indexed from 0 in order of insertion.
class string_pool
{
public:
    /// Adds a string and returns its index.
    std::uint32_t add(std::string_view text)
    {
        bytes_.append(text);
        ends_.push_back(static_cast<std::uint32_t>(bytes_.size()));
        return static_cast<std::uint32_t>(ends_.size() - 1);
    }

    /// The string with an index.
    std::string_view at(std::uint32_t index) const
    {
        std::size_t const begin = index == 0 ? 0 : ends_[index - 1];
        return std::string_view(bytes_).substr(begin, ends_[index] - begin);
    }

    /// Number of strings.
    std::size_t size() const
    {
        return ends_.size();
    }

    /// Releases unused capacity.
    void shrink()
    {
        bytes_.shrink_to_fit();
        ends_.shrink_to_fit();
    }

    /// Bytes of memory in use.
    std::size_t memory() const
    {
        return bytes_.capacity() + ends_.capacity() * sizeof(std::uint32_t);
    }

private:
    /// The concatenated strings.
    std::string bytes_;
    /// End of each string in `bytes_`.
    std::vector<std::uint32_t> ends_;
};

} // namespace kumquatloom::admission

#endif
