#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/request/ticket_table.hpp>

#include <boost/assert.hpp>

#include <bit>
#include <utility>

namespace kumquatloom::request
{

namespace
{

constexpr std::uint64_t finished_bit = 1;
/// A larger number would lose its highest bit when it is shifted.
constexpr std::uint64_t max_sequence = UINT64_MAX >> 1U;

std::uint64_t running_word(std::uint64_t sequence)
{
    return sequence << 1U;
}

ticket_state state_of(std::uint64_t word, std::uint64_t sequence)
{
    auto const slot_sequence = word >> 1U;
    if (slot_sequence < sequence)
        return ticket_state::unused;
    if (slot_sequence > sequence)
        return ticket_state::dropped;
    return (word & finished_bit) != 0 ? ticket_state::finished
                                      : ticket_state::running;
}

} // namespace

ticket_table::ticket_table(ticket_table_settings settings)
    : settings_(settings)
    , slots_(std::make_unique<std::atomic<std::uint64_t>[]>(settings.window))
    , responses_(settings.responses)
{
    BOOST_ASSERT(std::has_single_bit(settings.window));
}

ticket_state ticket_table::claim(std::uint64_t sequence)
{
    // Zero marks an empty slot, and a number above the maximum does not fit
    // into one. No ticket is issued with such a number.
    if (sequence == 0 || sequence > max_sequence)
        return ticket_state::dropped;
    auto& slot = slot_of(sequence);
    auto word = slot.load(std::memory_order_acquire);
    while (true)
    {
        auto const found = state_of(word, sequence);
        if (found != ticket_state::unused &&
            !core::is_mutated(core::mutation::run_ticket_twice))
            return found;
        if (slot.compare_exchange_weak(word,
                                       running_word(sequence),
                                       std::memory_order_acq_rel,
                                       std::memory_order_acquire))
            return ticket_state::unused;
    }
}

ticket_state ticket_table::state(std::uint64_t sequence) const
{
    if (sequence == 0 || sequence > max_sequence)
        return ticket_state::dropped;
    return state_of(slot_of(sequence).load(std::memory_order_acquire),
                    sequence);
}

void ticket_table::finish(std::uint64_t sequence)
{
    // If a later ticket has taken the slot, the exchange fails and leaves the
    // slot unchanged.
    auto word = running_word(sequence);
    slot_of(sequence).compare_exchange_strong(
        word, word | finished_bit, std::memory_order_acq_rel);
}

void ticket_table::finish(stored_response_pointer response)
{
    auto const sequence = response->sequence;
    // Store the response first, so that a thread that sees the ticket finished
    // also finds the response.
    responses_.store(std::move(response));
    finish(sequence);
}

} // namespace kumquatloom::request
