#include <kumquatloom/document/name_table.hpp>

#include <boost/assert.hpp>

namespace kumquatloom::document
{

name_table::name_table(std::vector<std::string_view> const& names)
{
    std::size_t total = 0;
    for (auto const name : names)
        total += name.size();
    characters_.reserve(total);
    ends_.reserve(names.size());
    for (auto const name : names)
    {
        characters_ += name;
        ends_.push_back(static_cast<std::uint32_t>(characters_.size()));
    }
}

std::string_view name_table::operator[](std::size_t index) const
{
    BOOST_ASSERT(index < ends_.size());
    std::size_t const begin = index == 0 ? 0 : ends_[index - 1];
    return std::string_view(characters_).substr(begin, ends_[index] - begin);
}

std::optional<std::uint32_t> name_table::find(std::string_view name) const
{
    std::uint32_t low = 0;
    auto high = static_cast<std::uint32_t>(ends_.size());
    while (low < high)
    {
        auto const middle = low + (high - low) / 2;
        if ((*this)[middle] < name)
            low = middle + 1;
        else
            high = middle;
    }
    if (low < ends_.size() && (*this)[low] == name)
        return low;
    return std::nullopt;
}

std::size_t name_table::memory_bytes() const
{
    return characters_.capacity() + ends_.capacity() * sizeof(std::uint32_t);
}

} // namespace kumquatloom::document
