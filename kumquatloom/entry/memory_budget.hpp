#ifndef KUMQUATLOOM_ENTRY_MEMORY_BUDGET_HPP
#define KUMQUATLOOM_ENTRY_MEMORY_BUDGET_HPP

#include <atomic>
#include <cstddef>
#include <utility>

namespace kumquatloom::entry
{

/// Bounds the bytes that all threads together hold in buffered answers.
class memory_account
{
public:
    /// Bytes taken from an account, returned on destruction.
    class reservation
    {
    public:
        reservation() = default;

        /// An empty reservation of the account, which must outlive it.
        explicit reservation(memory_account& account)
            : account_(&account)
        {
        }

        reservation(reservation&& other) noexcept
            : account_(std::exchange(other.account_, nullptr))
            , bytes_(std::exchange(other.bytes_, 0))
        {
        }

        reservation& operator=(reservation&& other) noexcept
        {
            std::swap(account_, other.account_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }

        ~reservation()
        {
            if (account_ != nullptr)
                account_->used_.fetch_sub(bytes_, std::memory_order_relaxed);
        }

        /// Grows to at least `bytes`; false if the account is exhausted.
        bool grow_to(std::size_t bytes)
        {
            if (bytes <= bytes_)
                return true;
            if (account_ == nullptr || !account_->take(bytes - bytes_))
                return false;
            bytes_ = bytes;
            return true;
        }

    private:
        /// Where the bytes were taken from.
        memory_account* account_ = nullptr;
        /// Bytes that are held.
        std::size_t bytes_ = 0;
    };

    /// Starts with `limit` free bytes.
    explicit memory_account(std::size_t limit)
        : limit_(limit)
    {
    }

    /// Bytes that are held now.
    std::size_t used() const
    {
        return used_.load(std::memory_order_relaxed);
    }

    /// Most bytes that may be held.
    std::size_t limit() const
    {
        return limit_;
    }

private:
    bool take(std::size_t bytes)
    {
        std::size_t const before =
            used_.fetch_add(bytes, std::memory_order_relaxed);
        if (before <= limit_ && bytes <= limit_ - before)
            return true;
        used_.fetch_sub(bytes, std::memory_order_relaxed);
        return false;
    }

    /// Most bytes that may be held.
    std::size_t const limit_;
    /// Bytes that are held now.
    std::atomic<std::size_t> used_{0};
};

} // namespace kumquatloom::entry

#endif
