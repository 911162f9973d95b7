#include <kumquatloom/document/document.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatloom::document
{

unsigned service_settings::floor_upstreams() const
{
    // Without the tolerance, the floating-point product 0.7 * 30 would be
    // rounded up to 22.
    constexpr double tolerance = 1e-9;
    double const exact = floor * expected_upstreams;
    auto const rounded = static_cast<unsigned>(std::ceil(exact - tolerance));
    return std::min(rounded, expected_upstreams);
}

unsigned service_settings::ejection_budget() const
{
    return expected_upstreams - floor_upstreams();
}

} // namespace kumquatloom::document
