#ifndef KUMQUATLOOM_MEMBERSHIP_MEMBER_STATE_HPP
#define KUMQUATLOOM_MEMBERSHIP_MEMBER_STATE_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::membership
{

/// What this instance thinks of a member.
enum class member_state : std::uint8_t
{
    /// The list or a peer names it, but it was never heard from.
    unheard,
    /// It was heard from, directly or through another member.
    live,
    /// It gave no sign of life for the suspicion time.
    suspect,
    /// It gave no sign of life for the death time.
    dead,
    /// It said that it is leaving, or the list says so.
    leaving,
    count
};

/// Name of a state, used in log lines and as a metric label.
std::string_view to_string(member_state state);

} // namespace kumquatloom::membership

#endif
