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
    , places_(std::make_unique<place[]>(settings.responses))
{
    BOOST_ASSERT(std::has_single_bit(settings.responses));
}

response_store::~response_store()
{
    for (std::size_t i = 0; i < settings_.responses; ++i)
        replace(places_[i], nullptr);
}

bool response_store::store(stored_response_pointer response)
{
    BOOST_ASSERT(response);
    auto const size = response->bytes();
    if (size > settings_.response_bytes || size > settings_.bytes)
        return false;
    // The bytes are reserved first, so that racing writers stay within the
    // bound together.
    bytes_.fetch_add(size, std::memory_order_relaxed);
    make_room();
    auto& target = places_[response->sequence & (settings_.responses - 1)];
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
    auto& source = places_[sequence & (settings_.responses - 1)];
    stored_response_pointer found;
    // A place that is being written holds another ticket's response soon.
    if ((source.users.fetch_add(1, std::memory_order_acquire) & writer_bit) ==
        0)
        found.reset(source.response);
    source.users.fetch_sub(1, std::memory_order_release);
    bool const matches = found && found->sequence == sequence &&
                         found->organisation == organisation &&
                         found->request == request;
    return matches ? found : nullptr;
}

bool response_store::replace(place& target, stored_response_pointer next)
{
    std::uint32_t nobody = 0;
    if (!target.users.compare_exchange_strong(
            nobody, writer_bit, std::memory_order_acquire))
        return false;
    // An older ticket that ends late must not displace a newer one.
    bool const newer = !next || target.response == nullptr ||
                       target.response->sequence < next->sequence;
    stored_response_pointer old;
    if (newer)
        old = stored_response_pointer(
            std::exchange(target.response, next.detach()), false);
    target.users.fetch_sub(writer_bit, std::memory_order_release);
    if (old)
        bytes_.fetch_sub(old->bytes(), std::memory_order_relaxed);
    return newer;
}

void response_store::make_room()
{
    // One round over all places is enough to drop every response.
    for (std::size_t i = 0; i < settings_.responses; ++i)
    {
        if (bytes_.load(std::memory_order_relaxed) <= settings_.bytes)
            return;
        auto const index =
            next_dropped_.fetch_add(1, std::memory_order_relaxed);
        replace(places_[index & (settings_.responses - 1)], nullptr);
    }
}

} // namespace kumquatloom::request
