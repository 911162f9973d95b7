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

/// What an instance says about itself.
enum class announced_state : std::uint8_t
{
    live,
    leaving,
    count
};

/// Sent by each member to every member of its cell at a fixed interval.
struct heartbeat
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::heartbeat;

    /// Whether the sender is leaving; final for its incarnation.
    announced_state state = announced_state::live;
    /// Whether the sender serves callers.
    bool ready = false;
    /// Whether the sender reads the log for its region.
    bool reader = false;
    /// Whether the sender could read the log when it last had to.
    bool log_readable = true;
    /// Whether the sender relays digests between regions.
    bool relay = false;
    /// Number that outranks suspicions with a smaller or equal number.
    std::uint32_t refutation = 0;
    /// Time since the start of the sender's process by its own clock. It
    /// orders the heartbeats of one incarnation and shows late ones.
    std::chrono::milliseconds uptime{0};
    /// Offset of the last reduced record of any type.
    core::log_offset state_offset = 0;
    /// First 8 bytes of the chain digest at that offset. It detects different
    /// histories, not forgery, so 8 bytes are enough.
    std::uint64_t chain_digest = 0;
    /// Offset of the last accepted edit.
    core::log_offset document_version = 0;
    /// Age of the sender's freshness when it sent this.
    std::chrono::milliseconds freshness_age{0};
    /// Failure domain of the sender.
    core::failure_domain failure_domain;
    /// Region of the sender.
    core::region region;
    /// Callers' address of the sender as "ip:port".
    std::string callers_address;
    /// Members that the sender suspects.
    std::vector<suspicion> suspicions;

    /// cereal's entry point.
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
