#ifndef KUMQUATLOOM_ENTRY_CANCELLATION_HPP
#define KUMQUATLOOM_ENTRY_CANCELLATION_HPP

#include <kumquatloom/entry/interruption.hpp>

namespace kumquatloom::entry
{

/// Cancels the pending waits of an operation, such as an attempt whose response
/// is no longer needed. Used by one thread only.
class cancellation
{
public:
    /// Registers a callback that ends a wait. Invokes it immediately if
    /// cancellation was requested before.
    void wait_for(interruption& item)
    {
        if (requested_)
            item();
        else
            waits_.push_back(item);
    }

    /// Requests cancellation and invokes all registered callbacks.
    void request()
    {
        requested_ = true;
        // A callback may unregister others.
        while (!waits_.empty())
        {
            auto& item = waits_.front();
            waits_.pop_front();
            item();
        }
    }

    /// Whether cancellation was requested.
    bool requested() const
    {
        return requested_;
    }

private:
    /// Callbacks of the pending waits.
    interruption_list waits_;
    /// Whether cancellation was requested.
    bool requested_ = false;
};

} // namespace kumquatloom::entry

#endif
