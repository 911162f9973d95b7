#ifndef KUMQUATLOOM_CORE_STRONG_STRING_HPP
#define KUMQUATLOOM_CORE_STRONG_STRING_HPP

#include <boost/container_hash/hash.hpp>

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace kumquatloom::core
{

/// A string with a distinct type for each `Tag`, so that one kind of name
/// cannot be passed where another is expected.
template <typename Tag>
class strong_string
{
public:
    strong_string() = default;

    /// Wraps the text.
    explicit strong_string(std::string text)
        : text_(std::move(text))
    {
    }

    /// The plain text.
    std::string const& value() const
    {
        return text_;
    }

    /// Whether the text is empty.
    bool empty() const
    {
        return text_.empty();
    }

    friend bool operator==(strong_string const&,
                           strong_string const&) = default;
    friend auto operator<=>(strong_string const&,
                            strong_string const&) = default;

    friend std::ostream& operator<<(std::ostream& out,
                                    strong_string const& name)
    {
        return out << name.text_;
    }

    friend std::size_t hash_value(strong_string const& name)
    {
        return boost::hash<std::string>()(name.text_);
    }

    /// Serialization function of cereal; only the text is stored.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(text_);
    }

private:
    /// The wrapped text.
    std::string text_;
};

} // namespace kumquatloom::core

template <typename Tag>
struct std::hash<kumquatloom::core::strong_string<Tag>>
{
    std::size_t
    operator()(kumquatloom::core::strong_string<Tag> const& name) const
    {
        return hash_value(name);
    }
};

#endif
