#ifndef KUMQUATLOOM_REQUEST_RESPONSE_STORE_HPP
#define KUMQUATLOOM_REQUEST_RESPONSE_STORE_HPP

#include <kumquatloom/request/stored_response.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace kumquatloom::request
{

struct response_store_settings
{
    /// Most stored responses; a power of two.
    std::size_t responses = 4096;
    /// Most bytes of all responses together.
    std::size_t bytes = 16 * 1024 * 1024;
    /// Largest response that is stored, in bytes.
    std::size_t response_bytes = 256 * 1024;
};

/// Stores responses to finished tickets in bounded memory. A sequence number
/// maps to one slot, and storing a response replaces an older one in its slot.
/// Thread-safe and non-blocking: if a slot is in use by another thread, the
/// response is not stored or not found.
class response_store
{
public:
    explicit response_store(response_store_settings settings);
    response_store(response_store const&) = delete;
    response_store& operator=(response_store const&) = delete;
    ~response_store();

    /// Stores a response. Returns false if the bounds do not allow it, or if
    /// its slot is in use or holds a newer response.
    bool store(stored_response_pointer response);

    /// Finds the response to a ticket. Returns null unless it is stored and
    /// belongs to the same organisation and the same request.
    stored_response_pointer find(std::uint64_t sequence,
                                 std::uint64_t organisation,
                                 core::sha256_digest const& request) const;

    /// Bytes of all stored responses.
    std::size_t bytes() const
    {
        return bytes_.load(std::memory_order_relaxed);
    }

private:
    /// A response with a try-lock. `users` counts the readers; its highest bit
    /// is set while a writer replaces the response.
    struct slot
    {
        std::atomic<std::uint32_t> users{0};
        /// Null if the slot is empty.
        stored_response const* response = nullptr;
    };

    /// Replaces the response of a slot. Returns false if the slot is in use or
    /// its response is newer.
    bool replace(slot& target, stored_response_pointer next);
    /// Evicts responses until their bytes are within the bound or all slots
    /// were tried.
    void evict_excess();

    response_store_settings settings_;
    /// Indexed by the ticket's sequence number modulo the number of slots.
    std::unique_ptr<slot[]> slots_;
    /// Bytes of all stored responses, and of responses being stored.
    std::atomic<std::size_t> bytes_{0};
    /// Index of the slot that evict_excess() evicts next.
    std::atomic<std::size_t> next_evicted_{0};
};

} // namespace kumquatloom::request

#endif
