#ifndef KUMQUATLOOM_CORE_LOG_VALUE_HPP
#define KUMQUATLOOM_CORE_LOG_VALUE_HPP

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace kumquatloom::core
{

/// The value of a field of a log line: a string, an integer, a floating-point
/// number or a Boolean.
class log_value
{
public:
    log_value(std::string text)
        : content_(std::move(text))
    {
    }
    log_value(std::string_view text)
        : content_(std::string(text))
    {
    }
    log_value(char const* text)
        : content_(std::string(text))
    {
    }
    log_value(bool value)
        : content_(value)
    {
    }
    log_value(double value)
        : content_(value)
    {
    }
    template <std::integral Number>
    log_value(Number number)
        : content_(static_cast<std::int64_t>(number))
    {
    }

    /// The stored value.
    std::variant<std::string, std::int64_t, double, bool> const& content() const
    {
        return content_;
    }

private:
    /// The stored value.
    std::variant<std::string, std::int64_t, double, bool> content_;
};

} // namespace kumquatloom::core

#endif
