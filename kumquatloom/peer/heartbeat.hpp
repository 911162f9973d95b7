#ifndef KUMQUATLOOM_PEER_HEARTBEAT_HPP
#define KUMQUATLOOM_PEER_HEARTBEAT_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>
#include <kumquatloom/peer/suspicion.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatloom::peer
{

/// Lifecycle state that an instance announces.
enum class announced_state : std::uint8_t
{
    live,
    leaving,
    count
};

/// Message that each member sends to all members of its cell at a fixed
/// interval.
struct heartbeat
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::heartbeat;

    /// Whether the sender is leaving. An incarnation that is leaving never
    /// becomes live again.
    announced_state state = announced_state::live;
    /// Whether the sender serves callers.
    bool ready = false;
    /// Whether the sender is an elected reader of the log in its cell.
    bool reader = false;
    /// False for some time after the sender failed to read the log, unless a
    /// later read has succeeded. Such a member is elected as a reader only if
    /// there are not enough other candidates.
    bool log_readable = true;
    /// Whether the sender is the elected relay of its cell, which sends and
    /// forwards digests between cells and regions.
    bool relay = false;
    /// Refutation number: overrides suspicions of the same incarnation with a
    /// smaller number.
    std::uint32_t refutation = 0;
    /// Time since the start of the sender's process by its own clock. Orders
    /// the heartbeats of one incarnation and reveals delayed ones.
    std::chrono::milliseconds uptime{0};
    /// Number of records of any type, counted from the start of the log, that
    /// the sender has reduced: one more than the offset of the last one.
    core::log_offset state_offset = 0;
    /// First 8 bytes of the chain digest at that offset. They only have to
    /// detect diverged histories, not forgery, so 8 bytes are enough.
    std::uint64_t chain_digest = 0;
    /// Offset of the last accepted edit of the document.
    core::log_offset document_version = 0;
    /// Age of the sender's freshness when the heartbeat was sent: time since
    /// the latest moment for which the sender's state is known to include all
    /// records that the log held then; 0xFFFFFFFF ms if there is none.
    std::chrono::milliseconds freshness_age{0};
    /// Failure domain of the sender.
    core::failure_domain failure_domain;
    /// Region of the sender.
    core::region region;
    /// Address of the sender for callers as "ip:port".
    std::string callers_address;
    /// Members that the sender suspects.
    std::vector<suspicion> suspicions;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(checked_enum(state), wire_flag(ready), wire_flag(reader));
        archive(wire_flag(log_readable), wire_flag(relay), refutation);
        archive(wire_milliseconds(uptime), state_offset, chain_digest);
        archive(document_version, wire_milliseconds(freshness_age));
        archive(bounded<max_name_bytes>(failure_domain),
                bounded<max_name_bytes>(region),
                bounded<max_address_bytes>(callers_address),
                bounded<max_suspicions>(suspicions));
    }

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

} // namespace kumquatloom::peer

#endif
