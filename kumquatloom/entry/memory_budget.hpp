#ifndef KUMQUATLOOM_ENTRY_MEMORY_BUDGET_HPP
#define KUMQUATLOOM_ENTRY_MEMORY_BUDGET_HPP

#include <atomic>
#include <cstddef>
#include <utility>

namespace kumquatloom::entry
{

/// Limits the total memory of buffered messages across all threads. A fraction
/// of it is left to small reservations, so that large messages, or messages
/// without end, don't keep small ones out.
class memory_budget
{
public:
    /// Bytes reserved from a budget; released on destruction.
    class reservation
    {
    public:
        reservation() = default;

        /// An empty reservation. The budget must outlive it.
        explicit reservation(memory_budget& budget)
            : budget_(&budget)
        {
        }

        reservation(reservation&& other) noexcept
            : budget_(std::exchange(other.budget_, nullptr))
            , bytes_(std::exchange(other.bytes_, 0))
        {
        }

        reservation& operator=(reservation&& other) noexcept
        {
            std::swap(budget_, other.budget_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }

        ~reservation()
        {
            if (budget_ != nullptr)
                budget_->used_.fetch_sub(bytes_, std::memory_order_relaxed);
        }

        /// Grows the reservation to at least `bytes`; false if that is more
        /// than the budget allows now.
        bool grow_to(std::size_t bytes)
        {
            if (bytes <= bytes_)
                return true;
            if (budget_ == nullptr || !budget_->try_grow(bytes_, bytes))
                return false;
            bytes_ = bytes;
            return true;
        }

        /// Releases the part above `bytes`.
        void shrink_to(std::size_t bytes)
        {
            if (bytes >= bytes_)
                return;
            budget_->used_.fetch_sub(bytes_ - bytes, std::memory_order_relaxed);
            bytes_ = bytes;
        }

        /// Bytes in this reservation.
        std::size_t bytes() const
        {
            return bytes_;
        }

    private:
        memory_budget* budget_ = nullptr;
        /// Bytes in this reservation.
        std::size_t bytes_ = 0;
    };

    /// Allows `limit` bytes in total.
    explicit memory_budget(std::size_t limit)
        : limit_(limit)
    {
    }

    /// Bytes currently reserved.
    std::size_t used() const
    {
        return used_.load(std::memory_order_relaxed);
    }

    /// Whether a reservation of this size is small.
    static bool is_small(std::size_t bytes)
    {
        return bytes <= small_bytes;
    }

    /// Whether the limit allows a reservation of this size when there is no
    /// other.
    bool can_hold(std::size_t bytes) const
    {
        return bytes <= available_for(bytes);
    }

    /// Maximum total of reserved bytes.
    std::size_t limit() const
    {
        return limit_;
    }

private:
    /// Size up to which a reservation is small.
    static constexpr std::size_t small_bytes = 32 * 1024;
    /// Reciprocal of the fraction of the limit that is left to small ones.
    static constexpr std::size_t reserve_divisor = 8;

    /// The part of the limit that a reservation of this size may use.
    std::size_t available_for(std::size_t bytes) const
    {
        return limit_ - (is_small(bytes) ? 0 : limit_ / reserve_divisor);
    }

    /// Grows a reservation of `from` bytes to `to` bytes.
    bool try_grow(std::size_t from, std::size_t to)
    {
        auto const growth = to - from;
        auto const others =
            used_.fetch_add(growth, std::memory_order_relaxed) - from;
        auto const available = available_for(to);
        if (others <= available && to <= available - others)
            return true;
        used_.fetch_sub(growth, std::memory_order_relaxed);
        return false;
    }

    /// Maximum total of reserved bytes.
    std::size_t const limit_;
    /// Bytes currently reserved.
    std::atomic<std::size_t> used_{0};
};

} // namespace kumquatloom::entry

#endif
