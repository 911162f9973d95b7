#ifndef KUMQUATLOOM_CORE_RCU_CELL_HPP
#define KUMQUATLOOM_CORE_RCU_CELL_HPP

#include <kumquatloom/core/rcu_read_section.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <atomic>
#include <utility>

namespace kumquatloom::core
{

/// Publishes an immutable object to many readers by read-copy-update. Readers
/// take no lock; a writer waits until no reader can still hold the old object
/// before it drops the cell's reference to it.
template <typename Value>
class rcu_cell
{
public:
    /// A counted reference, which stays valid after later publications.
    using pointer = boost::intrusive_ptr<Value const>;

    rcu_cell() = default;

    /// Starts with a first object.
    explicit rcu_cell(pointer first)
        : current_(first.detach())
    {
    }

    rcu_cell(rcu_cell const&) = delete;
    rcu_cell& operator=(rcu_cell const&) = delete;

    ~rcu_cell()
    {
        // No reader is left by contract, so no grace period is needed.
        pointer last(current_.load(std::memory_order_acquire), false);
    }

    /// The current object, or null before the first publication.
    pointer read() const
    {
        rcu_read_section const section;
        return pointer(current_.load(std::memory_order_acquire));
    }

    /// Replaces the object. Must not be called inside a read-side section.
    void publish(pointer next)
    {
        pointer const old(
            current_.exchange(next.detach(), std::memory_order_acq_rel), false);
        if (old)
            wait_for_readers();
    }

private:
    /// The published object, of which the cell owns one reference.
    std::atomic<Value const*> current_{nullptr};
};

} // namespace kumquatloom::core

#endif
