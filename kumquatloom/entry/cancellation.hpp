#ifndef KUMQUATLOOM_ENTRY_CANCELLATION_HPP
#define KUMQUATLOOM_ENTRY_CANCELLATION_HPP

#include <kumquatloom/entry/cancellation_callback.hpp>

namespace kumquatloom::entry
{

/// Cancels the pending waits of an operation, such as an attempt whose response
/// is no longer needed. Used by one thread only.
class cancellation
{
public:
    /// Registers a callback that ends a wait. Invokes it immediately if
    /// cancellation was requested before.
    void add_callback(cancellation_callback& callback)
    {
        if (requested_)
            callback();
        else
            callbacks_.push_back(callback);
    }

    /// Requests cancellation and invokes all registered callbacks.
    void request()
    {
        requested_ = true;
        // A callback may unregister others.
        while (!callbacks_.empty())
        {
            auto& callback = callbacks_.front();
            callbacks_.pop_front();
            callback();
        }
    }

    /// Whether cancellation was requested.
    bool requested() const
    {
        return requested_;
    }

private:
    /// Callbacks of the pending waits.
    cancellation_callback_list callbacks_;
    /// Whether cancellation was requested.
    bool requested_ = false;
};

} // namespace kumquatloom::entry

#endif
