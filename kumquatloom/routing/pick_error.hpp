#ifndef KUMQUATLOOM_ROUTING_PICK_ERROR_HPP
#define KUMQUATLOOM_ROUTING_PICK_ERROR_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::routing
{

/// Why no upstream was chosen.
enum class pick_error : std::uint8_t
{
    /// The service has no upstream that may receive requests.
    no_upstream,
    /// The request has already tried all upstreams that may receive requests.
    all_tried,
    /// As far as this instance knows, no untried upstream has a free slot that
    /// the request may use. Slots of upstreams of last resort and of remote
    /// upstreams with a high utilisation do not count.
    no_free_slot,
    count
};

/// Returns the metric label of an error.
std::string_view to_string(pick_error error);

} // namespace kumquatloom::routing

#endif
