#ifndef KUMQUATLOOM_ENTRY_CANCELLATION_CALLBACK_HPP
#define KUMQUATLOOM_ENTRY_CANCELLATION_CALLBACK_HPP

#include <boost/intrusive/list.hpp>

#include <functional>
#include <utility>

namespace kumquatloom::entry
{

/// Links a callback into the list of a cancellation until it is destroyed.
using cancellation_hook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Ends a pending wait when the operation is cancelled. Registered with a
/// cancellation; must be destroyed when the wait ends.
class cancellation_callback : public cancellation_hook
{
public:
    /// `callback` is invoked when the operation is cancelled.
    explicit cancellation_callback(std::function<void()> callback)
        : callback_(std::move(callback))
    {
    }

    cancellation_callback(cancellation_callback const&) = delete;
    cancellation_callback& operator=(cancellation_callback const&) = delete;

    void operator()() const
    {
        callback_();
    }

private:
    std::function<void()> callback_;
};

/// The callbacks registered with one cancellation.
using cancellation_callback_list =
    boost::intrusive::list<cancellation_callback,
                           boost::intrusive::constant_time_size<false>>;

} // namespace kumquatloom::entry

#endif
