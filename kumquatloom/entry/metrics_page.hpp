#ifndef KUMQUATLOOM_ENTRY_METRICS_PAGE_HPP
#define KUMQUATLOOM_ENTRY_METRICS_PAGE_HPP

#include <kumquatloom/core/counter_family.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatloom::entry
{

struct instance_state;

/// Writes metrics in the Prometheus text format.
class metrics_page
{
public:
    /// Adds one counter for each value of an enumeration that has to_string().
    template <core::countable_enum Reason>
    void add(std::string_view name,
             std::string_view label,
             core::counter_family<Reason> const& family)
    {
        type(name, "counter");
        for (std::size_t index = 0; index < family.size; ++index)
        {
            auto const reason = static_cast<Reason>(index);
            text_.append(name).append("{").append(label).append("=\"");
            text_.append(to_string(reason)).append("\"} ");
            text_.append(std::to_string(family.value(reason))).append("\n");
        }
    }

    /// Adds a number that rises and falls.
    void add_gauge(std::string_view name, std::uint64_t value);

    /// Adds everything that the instance counts.
    void add(instance_state const& state);

    /// The page.
    std::string const& text() const
    {
        return text_;
    }

private:
    void type(std::string_view name, std::string_view type);

    /// What was added so far.
    std::string text_;
};

} // namespace kumquatloom::entry

#endif
