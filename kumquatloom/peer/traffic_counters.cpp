#include <kumquatloom/peer/traffic_counters.hpp>

#include <boost/assert.hpp>

namespace kumquatloom::peer
{

std::string_view to_string(direction way)
{
    return way == direction::sent ? "sent" : "received";
}

std::string_view to_string(peer_scope scope)
{
    return scope == peer_scope::same_region ? "same_region" : "other_region";
}

void traffic_counters::add(message_kind kind,
                           direction way,
                           peer_scope scope,
                           std::size_t frame_bytes)
{
    auto& counters = of(way, scope);
    counters.messages.increment(kind);
    counters.bytes.increment(kind, frame_bytes);
}

std::uint64_t traffic_counters::messages(message_kind kind,
                                         direction way,
                                         peer_scope scope) const
{
    return of(way, scope).messages.value(kind);
}

std::uint64_t traffic_counters::bytes(message_kind kind,
                                      direction way,
                                      peer_scope scope) const
{
    return of(way, scope).bytes.value(kind);
}

traffic_counters::family& traffic_counters::of(direction way, peer_scope scope)
{
    BOOST_ASSERT(way < direction::count && scope < peer_scope::count);
    return families_[static_cast<std::size_t>(way)]
                    [static_cast<std::size_t>(scope)];
}

traffic_counters::family const& traffic_counters::of(direction way,
                                                     peer_scope scope) const
{
    BOOST_ASSERT(way < direction::count && scope < peer_scope::count);
    return families_[static_cast<std::size_t>(way)]
                    [static_cast<std::size_t>(scope)];
}

} // namespace kumquatloom::peer
