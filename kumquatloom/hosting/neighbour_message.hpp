#ifndef KUMQUATLOOM_HOSTING_NEIGHBOUR_MESSAGE_HPP
#define KUMQUATLOOM_HOSTING_NEIGHBOUR_MESSAGE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/message_codec.hpp>
#include <kumquatloom/hosting/store_position.hpp>
#include <kumquatloom/hosting/upstream_estimate.hpp>
#include <kumquatloom/hosting/upstream_report.hpp>
#include <kumquatloom/routing/upstream_change.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquatloom::hosting
{

/// Maximum number of upstreams with a report in a message. With that many
/// reports and `max_changes` changes of usual size, the message fits into a
/// datagram within the usual path MTU.
inline constexpr std::size_t max_reports = 96;
/// Maximum number of upstream list changes in a message. A receiver that has
/// missed more fetches them from the sender.
inline constexpr std::size_t max_changes = 4;
/// Maximum number of health estimates sent to a new neighbour: twice the
/// expected number, which is about 30% of one domain's share of a service with
/// hundreds of upstreams.
inline constexpr std::size_t max_estimates = 128;
/// Format version and first byte of a message.
inline constexpr std::uint8_t message_version = 3;

/// Heartbeat that an instance sends to each neighbour, with its store position,
/// load and health evidence.
struct neighbour_message
{
    std::uint8_t version = message_version;
    core::failure_domain domain;
    /// Identifies the process start of the sender.
    core::incarnation incarnation = 0;
    /// Increases with each message of the incarnation.
    std::uint32_t sequence = 0;
    /// Whether the sender serves callers.
    bool ready = false;
    /// Whether the sender is shutting down.
    bool leaving = false;
    /// Whether the receiver should reply with a message of its own, as in a
    /// hello message of an instance that has just started or has just added the
    /// receiver.
    bool wants_reply = false;
    /// Whether the sender has the store's contents; see
    /// store_replica::has_contents().
    bool has_contents = false;
    /// Store position of the sender's contents.
    store_position position;
    /// Number of reads of the store by the sender itself, and the time since
    /// the last one began.
    std::uint32_t own_reads = 0;
    std::chrono::milliseconds own_read_age{0};
    /// A receiver at this store position or later needs only `changes` to catch
    /// up.
    store_position changes_since;
    std::vector<routing::upstream_change> changes;
    /// Load and health evidence by upstream.
    std::vector<upstream_report> reports;
    /// Upstreams that the sender avoids; only set in replies to `wants_reply`.
    std::vector<upstream_estimate> estimates;

    /// Serializes the message with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version);
        if (version != message_version)
            throw peer::bounds_error();
        auto name = peer::bounded<peer::max_name_bytes>(domain);
        peer::wire_flag ready_flag(ready);
        peer::wire_flag leaving_flag(leaving);
        peer::wire_flag reply_flag(wants_reply);
        peer::wire_flag contents_flag(has_contents);
        peer::wire_milliseconds wire_age(own_read_age);
        archive(name, incarnation, sequence);
        archive(ready_flag, leaving_flag, reply_flag, contents_flag);
        archive(position, own_reads, wire_age, changes_since);
        auto bounded_changes = peer::bounded<max_changes>(changes);
        auto bounded_reports = peer::bounded<max_reports>(reports);
        auto bounded_estimates = peer::bounded<max_estimates>(estimates);
        archive(bounded_changes, bounded_reports, bounded_estimates);
    }
};

} // namespace kumquatloom::hosting

namespace kumquatloom::routing
{

/// Serializes a change of the upstream list with cereal. An empty entry means
/// that the upstream was removed.
template <typename Archive>
void serialize(Archive& archive, upstream_change& change)
{
    auto id = peer::bounded<peer::max_name_bytes>(change.id);
    bool present = change.entry.has_value();
    peer::wire_flag present_flag(present);
    archive(id, present_flag);
    if (!present)
        return;
    if (!change.entry)
        change.entry.emplace();
    archive(*change.entry);
}

} // namespace kumquatloom::routing

#endif
