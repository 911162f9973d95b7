#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/health/ejection_rejection.hpp>
#include <kumquatloom/health/upstream_standing.hpp>

#include <boost/assert.hpp>

#include <array>
#include <cstddef>

namespace kumquatloom::health
{

namespace
{

/// Returns the name of an enumerator; `names` has one entry per enumerator.
template <typename Enum, std::size_t Size>
std::string_view name_of(std::array<std::string_view, Size> const& names,
                         Enum value)
{
    static_assert(Size == static_cast<std::size_t>(Enum::count));
    BOOST_ASSERT(value < Enum::count);
    return names[static_cast<std::size_t>(value)];
}

} // namespace

std::string_view to_string(upstream_standing standing)
{
    static constexpr std::array<std::string_view, 5> names = {
        "normal", "avoided", "ejected", "recovering", "leaving"};
    return name_of(names, standing);
}

std::string_view to_string(attempt_result result)
{
    static constexpr std::array<std::string_view, 8> names = {"success",
                                                              "upstream_error",
                                                              "refused",
                                                              "timeout",
                                                              "connect_failure",
                                                              "wrong_answer",
                                                              "cut_short",
                                                              "cancelled"};
    return name_of(names, result);
}

std::string_view to_string(ejection_rejection reason)
{
    static constexpr std::array<std::string_view, 5> names = {
        "slot_outside_budget",
        "slot_taken",
        "release_not_current",
        "already_ejected",
        "no_such_ejection"};
    return name_of(names, reason);
}

} // namespace kumquatloom::health
