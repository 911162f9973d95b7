#include <kumquatloom/entry/memory_queue.hpp>

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <chrono>

namespace kumquatloom::entry
{

namespace
{

/// Interval in which the first message tries to reserve memory. Each attempt
/// looks at all connections, and other threads release memory, too.
constexpr std::chrono::milliseconds attempt_interval{20};

} // namespace

asio::awaitable<bool> memory_queue::wait(std::function<bool()> reserve,
                                         core::time_point until,
                                         cancellation& cancel)
{
    waiter self(co_await asio::this_coro::executor);
    cancellation_callback on_cancel(
        [&self]
        {
            self.timer.cancel();
        });
    waiters_.push_back(self);
    cancel.add_callback(on_cancel);
    bool reserved = false;
    bool ended = cancel.requested();
    while (!reserved && !ended)
    {
        bool const is_first = &waiters_.front() == &self;
        reserved = is_first && reserve();
        auto const now = core::clock::now();
        ended = now >= until;
        if (!reserved && !ended)
        {
            self.timer.expires_at(is_first ? std::min<core::time_point>(
                                                 until, now + attempt_interval)
                                           : until);
            co_await self.timer.async_wait(as_result);
            ended = cancel.requested();
        }
    }
    self.unlink();
    if (!waiters_.empty())
        waiters_.front().timer.cancel();
    co_return reserved;
}

} // namespace kumquatloom::entry
