#ifndef KUMQUATLOOM_PEER_BOUNDED_HPP
#define KUMQUATLOOM_PEER_BOUNDED_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>

namespace kumquatloom::peer
{

/// Thrown if a message field exceeds the bounds of the wire format.
class bounds_error : public std::runtime_error
{
public:
    bounds_error()
        : std::runtime_error("a message field is out of bounds")
    {
    }
};

/// Smallest unsigned type that can represent sizes up to `Max`.
template <std::size_t Max>
using wire_size = std::conditional_t<
    Max <= 0xFF,
    std::uint8_t,
    std::conditional_t<Max <= 0xFFFF, std::uint16_t, std::uint32_t>>;

/// Serialises a string, a strong string type or a vector with an explicit bound
/// on its size, because cereal accepts any size. Vectors are extended element
/// by element, so that a forged size exhausts the input before it can allocate
/// much memory.
template <std::size_t Max, typename Container>
class bounded_container
{
public:
    /// Refers to the field.
    explicit bounded_container(Container& field)
        : field_(field)
    {
    }

    /// Reads or writes the field; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        if constexpr (Archive::is_loading::value)
            load(archive);
        else
            save(archive);
    }

private:
    static constexpr bool is_string = std::is_same_v<Container, std::string>;
    static constexpr bool is_strong_string = requires(Container const& name)
    {
        name.value();
    };

    static void check(std::size_t size)
    {
        if (size > Max)
            throw bounds_error();
    }

    template <typename Archive>
    static void save_text(Archive& archive, std::string const& text)
    {
        check(text.size());
        archive(static_cast<wire_size<Max>>(text.size()));
        archive.template saveBinary<1>(
            text.data(), static_cast<std::streamsize>(text.size()));
    }

    template <typename Archive>
    static std::string load_text(Archive& archive)
    {
        wire_size<Max> size = 0;
        archive(size);
        check(size);
        std::string text(size, '\0');
        archive.template loadBinary<1>(text.data(),
                                       static_cast<std::streamsize>(size));
        return text;
    }

    template <typename Archive>
    void save(Archive& archive)
    {
        if constexpr (is_string)
            save_text(archive, field_);
        else if constexpr (is_strong_string)
            save_text(archive, field_.value());
        else
        {
            check(field_.size());
            archive(static_cast<wire_size<Max>>(field_.size()));
            for (auto& element : field_)
                archive(element);
        }
    }

    template <typename Archive>
    void load(Archive& archive)
    {
        if constexpr (is_string)
            field_ = load_text(archive);
        else if constexpr (is_strong_string)
            field_ = Container(load_text(archive));
        else
        {
            wire_size<Max> size = 0;
            archive(size);
            check(size);
            field_.clear();
            for (std::size_t i = 0; i < size; ++i)
                archive(field_.emplace_back());
        }
    }

    /// The field of the message.
    Container& field_;
};

/// Wraps a field so that its size is checked against `Max` when it is
/// serialised.
template <std::size_t Max, typename Container>
bounded_container<Max, Container> bounded(Container& field)
{
    return bounded_container<Max, Container>(field);
}

/// Serialises an enumeration as one byte and rejects values not below `count`.
template <typename Enum>
class checked_enum
{
public:
    /// Refers to the field.
    explicit checked_enum(Enum& field)
        : field_(field)
    {
    }

    /// Reads or writes the field; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        auto value = static_cast<std::uint8_t>(field_);
        archive(value);
        if (value >= static_cast<std::uint8_t>(Enum::count))
            throw bounds_error();
        field_ = static_cast<Enum>(value);
    }

private:
    /// The field of the message.
    Enum& field_;
};

/// Serialises a bool as one byte and rejects values other than 0 and 1. cereal
/// would copy any byte into the bool, which is undefined behaviour.
class wire_flag
{
public:
    /// Refers to the field.
    explicit wire_flag(bool& field)
        : field_(field)
    {
    }

    /// Reads or writes the field; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        std::uint8_t value = field_ ? 1 : 0;
        archive(value);
        if (value > 1)
            throw bounds_error();
        field_ = value == 1;
    }

private:
    /// The field of the message.
    bool& field_;
};

/// Serialises a duration as a 32-bit number of milliseconds, clamped to the
/// representable range.
class wire_milliseconds
{
public:
    /// Refers to the field.
    explicit wire_milliseconds(std::chrono::milliseconds& field)
        : field_(field)
    {
    }

    /// Reads or writes the field; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        constexpr std::int64_t max_count =
            std::numeric_limits<std::uint32_t>::max();
        auto const count = field_.count();
        auto value = static_cast<std::uint32_t>(
            count < 0 ? 0 : (count > max_count ? max_count : count));
        archive(value);
        if constexpr (Archive::is_loading::value)
            field_ = std::chrono::milliseconds(value);
    }

private:
    /// The field of the message.
    std::chrono::milliseconds& field_;
};

} // namespace kumquatloom::peer

#endif
