#include <kumquatloom/limits/pipeline_window.hpp>

#include <algorithm>

namespace kumquatloom::limits
{

namespace
{

/// The window shrinks from this part of a resource on, and is 1 at
/// `end_divisor`.
constexpr std::size_t start_divisor = 8;
constexpr std::size_t end_divisor = 2;

std::size_t window_of(std::size_t max_requests, resource_use resource)
{
    auto const start = resource.limit / start_divisor;
    auto const end = resource.limit / end_divisor;
    if (resource.used >= end)
        return 1;
    if (resource.used <= start)
        return max_requests;
    // Division before multiplication would lose the fraction; a resource of
    // 2^48 bytes times 1,024 requests still fits.
    return 1 + (max_requests - 1) * (end - resource.used) / (end - start);
}

} // namespace

std::size_t pipeline_window(std::size_t max_requests,
                            std::span<resource_use const> resources)
{
    auto window = max_requests;
    for (auto const& resource : resources)
        window = std::min(window, window_of(max_requests, resource));
    return std::max<std::size_t>(window, 1);
}

} // namespace kumquatloom::limits
