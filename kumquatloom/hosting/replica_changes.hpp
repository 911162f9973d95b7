#ifndef KUMQUATLOOM_HOSTING_REPLICA_CHANGES_HPP
#define KUMQUATLOOM_HOSTING_REPLICA_CHANGES_HPP

#include <kumquatloom/hosting/message_codec.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/replica_snapshot.hpp>
#include <kumquatloom/hosting/store_position.hpp>
#include <kumquatloom/routing/upstream_change.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace kumquatloom::hosting
{

/// Number of changes to the list of upstreams that an instance remembers.
inline constexpr std::size_t max_remembered_changes = 512;

/// What an instance's copy of the store has in addition to that of a neighbour
/// at an earlier position.
struct replica_changes
{
    /// The configuration as stored; empty if the neighbour has it.
    std::string document;
    /// Changes to the list of upstreams, in order.
    std::vector<routing::upstream_change> upstreams;
    /// Store position of the contents.
    store_position position;
    /// Age of the contents when the response was made.
    std::chrono::milliseconds age{0};

    /// Serializes with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        auto text = peer::bounded<max_document_bytes>(document);
        auto list = peer::bounded<max_remembered_changes>(upstreams);
        peer::wire_milliseconds wire_age(age);
        archive(text, list, position, wire_age);
    }
};

} // namespace kumquatloom::hosting

#endif
