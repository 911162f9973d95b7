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

/// Bounds on the owner's memory of its tickets.
struct ticket_table_settings
{
    /// Tickets that are remembered; a power of two. The default takes 512 KB
    /// and covers 65 s at 1,000 tickets a second.
    std::size_t window = 65536;
    /// Bounds on kept responses.
    response_store_settings responses;
};

/// The owner's memory of the tickets of its incarnation. For each sequence
/// number at most one claim succeeds, ever: the number in a place only grows,
/// and a number below it counts as used. Used by several threads at once
/// without a lock.
class ticket_table
{
public:
    /// Starts with every ticket unused.
    explicit ticket_table(ticket_table_settings settings);

    /// Claims a ticket. `unused` means that the caller of this function has
    /// won it and must run the request and call finish(); every other state
    /// means that somebody has won it before.
    [[nodiscard]] ticket_state claim(std::uint64_t sequence);

    /// The state of a ticket.
    ticket_state state(std::uint64_t sequence) const;

    /// Ends the request of a claimed ticket without a response to keep.
    void finish(std::uint64_t sequence);

    /// Ends the request of a claimed ticket and keeps its response if the
    /// bounds allow.
    void finish(stored_response_pointer response);

    /// Kept responses.
    response_store const& responses() const
    {
        return responses_;
    }

private:
    /// The place of a sequence number.
    std::atomic<std::uint64_t>& place_of(std::uint64_t sequence) const
    {
        return places_[sequence & (settings_.window - 1)];
    }

    /// Bounds.
    ticket_table_settings settings_;
    /// The highest claimed sequence number of each place, shifted left by one;
    /// the lowest bit says that its request has ended.
    std::unique_ptr<std::atomic<std::uint64_t>[]> places_;
    /// Kept responses.
    response_store responses_;
};

} // namespace kumquatloom::request

#endif
