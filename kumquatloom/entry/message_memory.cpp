#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/caller_connections.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/message_memory.hpp>

namespace kumquatloom::entry
{

message_memory::message_memory(instance_state& state,
                               caller_connections& connections)
    : state_(state)
    , connections_(connections)
    , requests_{state.buffered_requests, {}}
    , responses_{state.buffered_answers, {}}
{
}

bool message_memory::reserve(limits::message_kind kind,
                             memory_budget::reservation& reservation,
                             std::size_t bytes,
                             caller_session const* requester)
{
    auto& own = account_of(kind);
    // Half of the limit ends the state, so that it doesn't change with each
    // message.
    if (own.is_short && own.queue.empty() &&
        own.budget.used() < own.budget.limit() / 2)
        log_shortage(kind, false);
    // A message that has been read in part holds memory, and releases it sooner
    // if it doesn't wait for others.
    bool const is_new_and_large =
        memory_budget::is_small(reservation.bytes()) &&
        !memory_budget::is_small(bytes);
    if (is_new_and_large && !own.queue.empty())
        return false;
    return grow(kind, reservation, bytes, requester);
}

asio::awaitable<bool>
message_memory::wait(limits::message_kind kind,
                     memory_budget::reservation& reservation,
                     std::size_t bytes,
                     core::time_point until,
                     cancellation& cancel)
{
    auto& own = account_of(kind);
    if (!own.budget.can_hold(bytes) || until <= core::clock::now())
        co_return false;
    state_.events.increment(kind == request ? entry_event::request_waited
                                            : entry_event::response_waited);
    if (!own.is_short)
        log_shortage(kind, true);
    co_return co_await own.queue.wait(
        [&]
        {
            return grow(kind, reservation, bytes, nullptr);
        },
        until,
        cancel);
}

bool message_memory::grow(limits::message_kind kind,
                          memory_budget::reservation& reservation,
                          std::size_t bytes,
                          caller_session const* requester)
{
    bool reserved = reservation.grow_to(bytes);
    while (!reserved && account_of(kind).budget.can_hold(bytes) &&
           connections_.free_memory(kind, requester))
        reserved = reservation.grow_to(bytes);
    return reserved;
}

void message_memory::log_shortage(limits::message_kind kind, bool is_short)
{
    auto& own = account_of(kind);
    own.is_short = is_short;
    core::log_warning(is_short ? "message_memory_short"
                               : "message_memory_sufficient",
                      {{"messages", kind == request ? "requests" : "responses"},
                       {"buffered_bytes", own.budget.used()},
                       {"limit_bytes", own.budget.limit()}});
}

} // namespace kumquatloom::entry
