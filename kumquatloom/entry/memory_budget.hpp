#ifndef KUMQUATLOOM_ENTRY_MEMORY_BUDGET_HPP
#define KUMQUATLOOM_ENTRY_MEMORY_BUDGET_HPP

#include <atomic>
#include <cstddef>
#include <utility>

namespace kumquatloom::entry
{

/// Limits the total memory of buffered responses across all threads.
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

        /// Grows the reservation to at least `bytes`; false if the budget is
        /// exhausted.
        bool grow_to(std::size_t bytes)
        {
            if (bytes <= bytes_)
                return true;
            if (budget_ == nullptr || !budget_->try_reserve(bytes - bytes_))
                return false;
            bytes_ = bytes;
            return true;
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

    /// Maximum total of reserved bytes.
    std::size_t limit() const
    {
        return limit_;
    }

private:
    bool try_reserve(std::size_t bytes)
    {
        std::size_t const before =
            used_.fetch_add(bytes, std::memory_order_relaxed);
        if (before <= limit_ && bytes <= limit_ - before)
            return true;
        used_.fetch_sub(bytes, std::memory_order_relaxed);
        return false;
    }

    /// Maximum total of reserved bytes.
    std::size_t const limit_;
    /// Bytes currently reserved.
    std::atomic<std::size_t> used_{0};
};

} // namespace kumquatloom::entry

#endif
