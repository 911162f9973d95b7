#ifndef KUMQUATLOOM_ENTRY_CANCELLATION_CALLBACK_HPP
#define KUMQUATLOOM_ENTRY_CANCELLATION_CALLBACK_HPP

#include <boost/intrusive/list.hpp>

#include <functional>
#include <utility>

namespace kumquatloom::entry
{

/// Links an interruption to its call until it goes out of scope.
using interruption_hook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A way to end something that a call waits for. It lives as long as the wait.
class interruption : public interruption_hook
{
public:
    /// Calls `interrupt` if the call is cancelled during the wait.
    explicit interruption(std::function<void()> interrupt)
        : interrupt_(std::move(interrupt))
    {
    }

    interruption(interruption const&) = delete;
    interruption& operator=(interruption const&) = delete;

    /// Ends the wait.
    void operator()() const
    {
        interrupt_();
    }

private:
    /// Ends the wait.
    std::function<void()> interrupt_;
};

/// The interruptions of one call.
using interruption_list =
    boost::intrusive::list<interruption,
                           boost::intrusive::constant_time_size<false>>;

} // namespace kumquatloom::entry

#endif
