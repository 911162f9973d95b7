#ifndef KUMQUATLOOM_REQUEST_RESPONSE_STORE_HPP
#define KUMQUATLOOM_REQUEST_RESPONSE_STORE_HPP

#include <kumquatloom/request/stored_response.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace kumquatloom::request
{

/// Bounds on kept responses.
struct response_store_settings
{
    /// Most responses; a power of two.
    std::size_t responses = 4096;
    /// Most bytes of all responses.
    std::size_t bytes = 16 * 1024 * 1024;
    /// Largest response that is kept.
    std::size_t response_bytes = 256 * 1024;
};

/// Keeps responses to finished tickets in bounded memory. Storing replaces the
/// older response of the same place. Used by several threads at once; no call
/// waits for another, and a response that is contended is not kept or found.
class response_store
{
public:
    /// Allocates the places.
    explicit response_store(response_store_settings settings);
    response_store(response_store const&) = delete;
    response_store& operator=(response_store const&) = delete;
    ~response_store();

    /// Keeps a response if the bounds allow; false if it was not kept.
    bool store(stored_response_pointer response);

    /// The response to a ticket, if it is kept and belongs to the same
    /// organisation and the same request.
    stored_response_pointer find(std::uint64_t sequence,
                                 std::uint64_t organisation,
                                 core::sha256_digest const& request) const;

    /// Bytes of all kept responses.
    std::size_t bytes() const
    {
        return bytes_.load(std::memory_order_relaxed);
    }

private:
    /// One response. `users` counts the readers; the highest bit is set while
    /// the place is written, and then no reader looks at the response.
    struct place
    {
        /// Readers, and the writer's bit.
        std::atomic<std::uint32_t> users{0};
        /// The response, or null.
        stored_response const* response = nullptr;
    };

    /// Replaces the response of a place; false if the place is in use.
    bool replace(place& target, stored_response_pointer next);
    /// Drops responses until the bytes fit the bound.
    void make_room();

    /// Bounds.
    response_store_settings settings_;
    /// The places; a ticket belongs to the place of its sequence number.
    std::unique_ptr<place[]> places_;
    /// Bytes of all kept responses.
    std::atomic<std::size_t> bytes_{0};
    /// The place that make_room() looks at next.
    std::atomic<std::size_t> next_dropped_{0};
};

} // namespace kumquatloom::request

#endif
