#ifndef KUMQUATLOOM_ENTRY_MESSAGE_MEMORY_HPP
#define KUMQUATLOOM_ENTRY_MESSAGE_MEMORY_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_budget.hpp>
#include <kumquatloom/entry/memory_queue.hpp>
#include <kumquatloom/limits/connection_shedding.hpp>

#include <cstddef>

namespace kumquatloom::entry
{

struct instance_state;
class cancellation;
class caller_connections;
class caller_session;

/// Reserves memory for the messages of one worker. When it is short, messages
/// of callers that make no progress are ended first, and others wait.
class message_memory
{
public:
    static constexpr auto request = limits::message_kind::request;
    static constexpr auto response = limits::message_kind::response;

    /// Both arguments must outlive the object.
    message_memory(instance_state& state, caller_connections& connections);

    /// Grows a reservation to `bytes`; false if there is not enough memory now.
    /// The message of `requester`, if any, is not ended for that. A new large
    /// message gets none before those that wait.
    bool reserve(limits::message_kind kind,
                 memory_budget::reservation& reservation,
                 std::size_t bytes,
                 caller_session const* requester = nullptr);

    /// Waits until the reservation could grow to `bytes`; false if it could not
    /// until `until`, or if `cancel` was requested.
    asio::awaitable<bool> wait(limits::message_kind kind,
                               memory_budget::reservation& reservation,
                               std::size_t bytes,
                               core::time_point until,
                               cancellation& cancel);

private:
    /// Memory for one kind of messages.
    struct account
    {
        memory_budget& budget;
        memory_queue queue;
        /// Whether a message has waited since half of the memory was free.
        bool is_short = false;
    };

    account& account_of(limits::message_kind kind)
    {
        return kind == request ? requests_ : responses_;
    }

    bool grow(limits::message_kind kind,
              memory_budget::reservation& reservation,
              std::size_t bytes,
              caller_session const* requester);
    void log_shortage(limits::message_kind kind, bool is_short);

    instance_state& state_;
    caller_connections& connections_;
    account requests_;
    account responses_;
};

} // namespace kumquatloom::entry

#endif
