#ifndef KUMQUATLOOM_ROUTING_PICK_ERROR_HPP
#define KUMQUATLOOM_ROUTING_PICK_ERROR_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::routing
{

/// Why no upstream was chosen.
enum class pick_error : std::uint8_t
{
    /// The service has no live upstream that may receive work.
    no_upstream,
    /// All of them were already tried by this request.
    all_tried,
    /// None of them has a free slot in this instance's view.
    no_free_slot,
    count
};

/// The error as a metric label.
std::string_view to_string(pick_error error);

} // namespace kumquatloom::routing

#endif
