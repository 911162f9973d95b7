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

/// Most upstreams in one heartbeat; with this many it fits a datagram of the
/// usual path MTU together with the changes.
inline constexpr std::size_t max_reports = 96;
/// Most changes of the list in one heartbeat. Who misses more fetches all.
inline constexpr std::size_t max_changes = 4;
/// Most upstreams that a new neighbour is warned of: three in ten of a domain's
/// part of a service with hundreds of upstreams, twice over.
inline constexpr std::size_t max_beliefs = 128;
/// First byte of every message; another value is another version.
inline constexpr std::uint8_t message_version = 3;

/// Sent to every instance of the failure domain at short intervals.
struct neighbour_message
{
    /// Version of the format.
    std::uint8_t version = message_version;
    /// Failure domain of the sender.
    core::failure_domain domain;
    /// Distinguishes the sender's process starts.
    core::incarnation incarnation = 0;
    /// Rises with each message.
    std::uint32_t sequence = 0;
    /// Whether the sender serves callers.
    bool ready = false;
    /// Whether it is shutting down.
    bool leaving = false;
    /// Whether it asks for a message in return, because it has just started.
    bool asks = false;
    /// Whether it knows its environment at all.
    bool knows = false;
    /// Up to where the sender knows the store.
    store_position position;
    /// Number of the sender's own reads of the store, and how long ago the
    /// last one began.
    std::uint32_t own_reads = 0;
    std::chrono::milliseconds own_read_age{0};
    /// Who knows the store up to here needs only `changes`.
    store_position changes_from;
    std::vector<routing::upstream_change> changes;
    /// Load and evidence.
    std::vector<upstream_report> reports;
    /// Upstreams that the sender avoids; only in answer to `asks`.
    std::vector<upstream_estimate> beliefs;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version);
        if (version != message_version)
            throw peer::bounds_error();
        auto name = peer::bounded<peer::max_name_bytes>(domain);
        peer::wire_flag is_ready(ready);
        peer::wire_flag is_leaving(leaving);
        peer::wire_flag does_ask(asks);
        peer::wire_flag does_know(knows);
        peer::wire_milliseconds wire_age(own_read_age);
        archive(name, incarnation, sequence);
        archive(is_ready, is_leaving, does_ask, does_know);
        archive(position, own_reads, wire_age, changes_from);
        auto list = peer::bounded<max_changes>(changes);
        auto told = peer::bounded<max_reports>(reports);
        auto believed = peer::bounded<max_beliefs>(beliefs);
        archive(list, told, believed);
    }
};

} // namespace kumquatloom::hosting

namespace kumquatloom::routing
{

/// cereal's entry point for a change of the list.
template <typename Archive>
void serialize(Archive& archive, upstream_change& change)
{
    auto id = peer::bounded<peer::max_name_bytes>(change.id);
    bool present = change.entry.has_value();
    peer::wire_flag flag(present);
    archive(id, flag);
    if (!present)
        return;
    if (!change.entry)
        change.entry.emplace();
    archive(*change.entry);
}

} // namespace kumquatloom::routing

#endif
