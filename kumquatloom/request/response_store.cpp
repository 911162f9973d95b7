#include <kumquatloom/request/response_store.hpp>

#include <boost/assert.hpp>

#include <bit>
#include <utility>

namespace kumquatloom::request
{

namespace
{

constexpr std::uint32_t writer_bit = 1U << 31U;

} // namespace

response_store::response_store(response_store_settings settings)
    : settings_(settings)
    , slots_(std::make_unique<slot[]>(settings.responses))
{
    BOOST_ASSERT(std::has_single_bit(settings.responses));
}

response_store::~response_store()
{
    for (std::size_t i = 0; i < settings_.responses; ++i)
        replace(slots_[i], nullptr);
}

bool response_store::store(stored_response_pointer response)
{
    BOOST_ASSERT(response);
    auto const size = response->bytes();
    if (size > settings_.response_bytes || size > settings_.bytes)
        return false;
    // Reserve the bytes first, so that concurrent writers together stay within
    // the bound.
    bytes_.fetch_add(size, std::memory_order_relaxed);
    evict_excess();
    auto& target = slots_[response->sequence & (settings_.responses - 1)];
    bool const fits = bytes_.load(std::memory_order_relaxed) <= settings_.bytes;
    if (fits && replace(target, std::move(response)))
        return true;
    bytes_.fetch_sub(size, std::memory_order_relaxed);
    return false;
}

stored_response_pointer
response_store::find(std::uint64_t sequence,
                     std::uint64_t organisation,
                     core::sha256_digest const& request) const
{
    auto& source = slots_[sequence & (settings_.responses - 1)];
    stored_response_pointer found;
    // A slot that is being written is about to be empty or to hold the response
    // to another ticket.
    if ((source.users.fetch_add(1, std::memory_order_acquire) & writer_bit) ==
        0)
        found.reset(source.response);
    source.users.fetch_sub(1, std::memory_order_release);
    bool const matches = found && found->sequence == sequence &&
                         found->organisation == organisation &&
                         found->request == request;
    return matches ? found : nullptr;
}

bool response_store::replace(slot& target, stored_response_pointer next)
{
    std::uint32_t no_users = 0;
    if (!target.users.compare_exchange_strong(
            no_users, writer_bit, std::memory_order_acquire))
        return false;
    // The response to an older ticket must not replace that to a newer one.
    bool const may_replace = !next || target.response == nullptr ||
                             target.response->sequence < next->sequence;
    stored_response_pointer replaced;
    if (may_replace)
        replaced = stored_response_pointer(
            std::exchange(target.response, next.detach()), false);
    target.users.fetch_sub(writer_bit, std::memory_order_release);
    if (replaced)
        bytes_.fetch_sub(replaced->bytes(), std::memory_order_relaxed);
    return may_replace;
}

void response_store::evict_excess()
{
    // One pass over all slots evicts every response whose slot is not in use.
    for (std::size_t i = 0; i < settings_.responses; ++i)
    {
        if (bytes_.load(std::memory_order_relaxed) <= settings_.bytes)
            return;
        auto const index =
            next_evicted_.fetch_add(1, std::memory_order_relaxed);
        replace(slots_[index & (settings_.responses - 1)], nullptr);
    }
}

} // namespace kumquatloom::request
