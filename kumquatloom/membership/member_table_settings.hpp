#ifndef KUMQUATLOOM_MEMBERSHIP_MEMBER_TABLE_SETTINGS_HPP
#define KUMQUATLOOM_MEMBERSHIP_MEMBER_TABLE_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace kumquatloom::membership
{

/// Times and bounds of a member table (section 5.7 of the design).
struct member_table_settings
{
    /// Silence after which a member becomes suspect.
    std::chrono::milliseconds suspect_after{1500};
    /// Silence after which a member becomes dead.
    std::chrono::milliseconds dead_after{3000};
    /// Time for which a removed member's tombstone is kept. It must exceed the
    /// lag of the instance list.
    std::chrono::seconds tombstone_lifetime{120};
    /// Time for which a member that was only named by a peer is kept without a
    /// message from it.
    std::chrono::seconds contact_lifetime{10};
    /// Maximum number of members. A cell has up to 32, and up to twice as many
    /// while all instances of a fleet are replaced and old and new ones
    /// overlap.
    std::size_t max_members = 64;
    /// Maximum number of tombstones; the oldest one is evicted first.
    std::size_t max_tombstones = 256;
};

} // namespace kumquatloom::membership

#endif
