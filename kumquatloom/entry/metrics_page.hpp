#ifndef KUMQUATLOOM_ENTRY_METRICS_PAGE_HPP
#define KUMQUATLOOM_ENTRY_METRICS_PAGE_HPP

#include <kumquatloom/core/counter_family.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatloom::control
{
class control_plane;
} // namespace kumquatloom::control

namespace kumquatloom::limits
{
class quota_table;
} // namespace kumquatloom::limits

namespace kumquatloom::peer
{
class traffic_counters;
} // namespace kumquatloom::peer

namespace kumquatloom::entry
{

struct instance_state;

/// Writes metrics in the Prometheus text format.
class metrics_page
{
public:
    /// Adds one counter line for each value of an enumeration that has
    /// to_string().
    template <core::countable_enum Enum>
    void add(std::string_view name,
             std::string_view label,
             core::counter_family<Enum> const& family)
    {
        add_type_line(name, "counter");
        add_values(std::string(name) + '{' + std::string(label), family);
    }

    /// Adds a gauge.
    void add_gauge(std::string_view name, std::uint64_t value);

    /// Adds the metrics of the instance.
    void add(instance_state const& state);

    /// Adds the metrics of the control plane.
    void add(control::control_plane const& plane);

    /// The page so far.
    std::string const& text() const
    {
        return text_;
    }

private:
    /// Adds the lines of a family. `start` is the metric name with its labels
    /// up to the name of the last label.
    template <core::countable_enum Enum>
    void add_values(std::string const& start,
                    core::counter_family<Enum> const& family)
    {
        for (std::size_t index = 0; index < family.size; ++index)
        {
            auto const value = static_cast<Enum>(index);
            text_.append(start).append("=\"").append(to_string(value));
            text_.append("\"} ").append(std::to_string(family.value(value)));
            text_.append("\n");
        }
    }

    void add(limits::quota_table const& quotas);
    void add_counter(std::string_view name, std::uint64_t value);
    void add_services(instance_state const& state);
    void add_organisations(instance_state const& state,
                           document::document const& document);
    void add_traffic(peer::traffic_counters const& traffic);
    void add_type_line(std::string_view name, std::string_view type);

    std::string text_;
};

} // namespace kumquatloom::entry

#endif
