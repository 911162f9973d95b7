#ifndef KUMQUATLOOM_REQUEST_TICKET_TABLE_HPP
#define KUMQUATLOOM_REQUEST_TICKET_TABLE_HPP

#include <kumquatloom/request/response_store.hpp>
#include <kumquatloom/request/ticket_state.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace kumquatloom::request
{

struct ticket_table_settings
{
    /// Number of tickets whose state is stored; a power of two. The default
    /// takes 512 KB and covers 65 s at 1,000 tickets per second.
    std::size_t window = 65536;
    response_store_settings responses;
};

/// The states of the tickets that this incarnation issued. At most one claim
/// ever succeeds for a sequence number: the number in a slot only grows, and
/// all lower numbers that map to the slot count as used. Thread-safe and
/// lock-free.
class ticket_table
{
public:
    /// All tickets are unused at first.
    explicit ticket_table(ticket_table_settings settings);

    /// Claims a ticket and returns its previous state. On `unused` the claim
    /// succeeded, and the calling code must run the request and call finish().
    /// Any other state means that the ticket counts as used.
    [[nodiscard]] ticket_state claim(std::uint64_t sequence);

    /// The state of a ticket.
    ticket_state state(std::uint64_t sequence) const;

    /// Ends the request of a claimed ticket without storing a response.
    void finish(std::uint64_t sequence);

    /// Ends the request of a claimed ticket and stores its response if the
    /// bounds allow it.
    void finish(stored_response_pointer response);

    response_store const& responses() const
    {
        return responses_;
    }

private:
    /// The slot of a sequence number.
    std::atomic<std::uint64_t>& slot_of(std::uint64_t sequence) const
    {
        return slots_[sequence & (settings_.window - 1)];
    }

    ticket_table_settings settings_;
    /// The highest claimed sequence number of each slot, shifted left by one.
    /// The lowest bit is set once the request of that ticket has ended.
    std::unique_ptr<std::atomic<std::uint64_t>[]> slots_;
    response_store responses_;
};

} // namespace kumquatloom::request

#endif
