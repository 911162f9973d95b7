#ifndef KUMQUATLOOM_ENTRY_CANCELLATION_HPP
#define KUMQUATLOOM_ENTRY_CANCELLATION_HPP

#include <kumquatloom/entry/cancellation_callback.hpp>

namespace kumquatloom::entry
{

/// Ends the waits of a piece of work that nobody needs any more. Belongs to
/// one thread.
class cancellation
{
public:
    /// Names something that the work waits for from now on. If the work is
    /// cancelled already, the wait ends at once.
    void wait_for(interruption& item)
    {
        if (requested_)
            item();
        else
            waits_.push_back(item);
    }

    /// Ends every wait.
    void request()
    {
        requested_ = true;
        // An interruption may unlink others.
        while (!waits_.empty())
        {
            auto& item = waits_.front();
            waits_.pop_front();
            item();
        }
    }

    /// Whether request() was called.
    bool requested() const
    {
        return requested_;
    }

private:
    /// What the work waits for.
    interruption_list waits_;
    /// Whether request() was called.
    bool requested_ = false;
};

} // namespace kumquatloom::entry

#endif
