#ifndef KUMQUATLOOM_ENTRY_MEMORY_QUEUE_HPP
#define KUMQUATLOOM_ENTRY_MEMORY_QUEUE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/http_types.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include <functional>

namespace kumquatloom::entry
{

/// Messages that wait for memory, in the order in which they began to wait.
/// Used by one thread. Only the first one tries to reserve memory, so that
/// smaller messages don't keep a large one waiting.
class memory_queue
{
public:
    /// Waits until it is the message's turn and `reserve` succeeds; false if
    /// that has not happened by `until`, or if `cancel` was requested.
    asio::awaitable<bool> wait(std::function<bool()> reserve,
                               core::time_point until,
                               cancellation& cancel);

    /// Whether no message waits.
    bool empty() const
    {
        return waiters_.empty();
    }

private:
    /// One waiting message; linked until it is destroyed.
    struct waiter
        : boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    {
        explicit waiter(asio::any_io_executor const& executor)
            : timer(executor)
        {
        }

        asio::steady_timer timer;
    };

    boost::intrusive::list<waiter, boost::intrusive::constant_time_size<false>>
        waiters_;
};

} // namespace kumquatloom::entry

#endif
