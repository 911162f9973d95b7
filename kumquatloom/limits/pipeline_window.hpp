#ifndef KUMQUATLOOM_LIMITS_PIPELINE_WINDOW_HPP
#define KUMQUATLOOM_LIMITS_PIPELINE_WINDOW_HPP

#include <cstddef>
#include <span>

namespace kumquatloom::limits
{

/// Use of one resource of the instance, such as its memory for requests.
struct resource_use
{
    std::size_t used = 0;
    std::size_t limit = 0;
};

/// Number of requests that one connection may have in progress, at most
/// `max_requests`. Shrinks as any of the resources fills up, to 1 at half of
/// it, which leaves the rest to the first requests of other connections.
std::size_t pipeline_window(std::size_t max_requests,
                            std::span<resource_use const> resources);

} // namespace kumquatloom::limits

#endif
