#ifndef KUMQUATLOOM_MEMBERSHIP_MEMBER_STATE_HPP
#define KUMQUATLOOM_MEMBERSHIP_MEMBER_STATE_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::membership
{

/// State of a member as judged by this instance.
enum class member_state : std::uint8_t
{
    /// Named by the list or a peer, but never heard from.
    unheard,
    /// Heard from, directly or through another member.
    live,
    /// Silent for the suspicion time.
    suspect,
    /// Silent for the death time.
    dead,
    /// Announced its leaving, or marked as leaving by the list.
    leaving,
    count
};

/// Returns the name of a state as used in logs and metric labels.
std::string_view to_string(member_state state);

} // namespace kumquatloom::membership

#endif
