#include <kumquatloom/peer/traffic_counters.hpp>

#include <boost/assert.hpp>

namespace kumquatloom::peer
{

std::string_view to_string(direction flow_direction)
{
    return flow_direction == direction::sent ? "sent" : "received";
}

std::string_view to_string(peer_scope scope)
{
    return scope == peer_scope::same_region ? "same_region" : "other_region";
}

void traffic_counters::add(message_kind kind,
                           direction flow_direction,
                           peer_scope scope,
                           std::size_t frame_bytes)
{
    auto& counters = of(flow_direction, scope);
    counters.messages.increment(kind);
    counters.bytes.increment(kind, frame_bytes);
}

std::uint64_t traffic_counters::messages(message_kind kind,
                                         direction flow_direction,
                                         peer_scope scope) const
{
    return of(flow_direction, scope).messages.value(kind);
}

std::uint64_t traffic_counters::bytes(message_kind kind,
                                      direction flow_direction,
                                      peer_scope scope) const
{
    return of(flow_direction, scope).bytes.value(kind);
}

traffic_counters::family& traffic_counters::of(direction flow_direction,
                                               peer_scope scope)
{
    BOOST_ASSERT(flow_direction < direction::count &&
                 scope < peer_scope::count);
    return families_[static_cast<std::size_t>(flow_direction)]
                    [static_cast<std::size_t>(scope)];
}

traffic_counters::family const& traffic_counters::of(direction flow_direction,
                                                     peer_scope scope) const
{
    BOOST_ASSERT(flow_direction < direction::count &&
                 scope < peer_scope::count);
    return families_[static_cast<std::size_t>(flow_direction)]
                    [static_cast<std::size_t>(scope)];
}

} // namespace kumquatloom::peer
