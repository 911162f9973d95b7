#include <kumquatloom/routing/entry_fault.hpp>
#include <kumquatloom/routing/pick_error.hpp>
#include <kumquatloom/routing/pick_tier.hpp>

#include <boost/assert.hpp>

#include <array>
#include <cstddef>

namespace kumquatloom::routing
{

std::string_view to_string(entry_fault fault)
{
    static constexpr std::array<std::string_view, 7> names = {"bad_id",
                                                              "unreadable",
                                                              "missing_field",
                                                              "wrong_type",
                                                              "out_of_range",
                                                              "unknown_state",
                                                              "unknown_domain"};
    static_assert(names.size() == static_cast<std::size_t>(entry_fault::count));
    BOOST_ASSERT(fault < entry_fault::count);
    return names[static_cast<std::size_t>(fault)];
}

std::string_view to_string(pick_error error)
{
    static constexpr std::array<std::string_view, 3> names = {
        "no_upstream", "all_tried", "no_free_slot"};
    static_assert(names.size() == static_cast<std::size_t>(pick_error::count));
    BOOST_ASSERT(error < pick_error::count);
    return names[static_cast<std::size_t>(error)];
}

std::string_view to_string(pick_tier tier)
{
    static constexpr std::array<std::string_view, 5> names = {
        "own_domain", "own_region", "other_region", "avoided", "trial"};
    static_assert(names.size() == static_cast<std::size_t>(pick_tier::count));
    BOOST_ASSERT(tier < pick_tier::count);
    return names[static_cast<std::size_t>(tier)];
}

} // namespace kumquatloom::routing
