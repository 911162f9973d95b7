#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/upstream_pool.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::entry
{

upstream_pool::lease::lease(boost::intrusive_ptr<upstream_pool> pool,
                            std::unique_ptr<upstream_connection> connection)
    : pool_(std::move(pool))
    , connection_(std::move(connection))
{
}

upstream_pool::lease::~lease()
{
    if (!connection_)
        return;
    connection_->close();
    pool_->release_permit();
}

void upstream_pool::lease::return_connection(
    std::optional<core::duration> keep_for)
{
    pool_->return_connection(std::move(connection_), keep_for);
}

upstream_pool::upstream_pool(asio::io_context& context,
                             instance_state& state,
                             tcp::endpoint peer,
                             std::size_t limit)
    : context_(context)
    , state_(state)
    , peer_(std::move(peer))
    , limit_(limit)
{
}

asio::awaitable<core::result<upstream_pool::lease, exchange_status>>
upstream_pool::acquire(cancellation& cancel,
                       core::time_point deadline,
                       core::duration max_idle)
{
    auto connection = take_idle(max_idle);
    if (!connection)
    {
        auto const failure =
            co_await wait_for_permit(cancel, deadline, connection);
        if (failure)
            co_return core::failure(*failure);
    }
    if (connection && connection->is_reusable())
    {
        state_.events.increment(entry_event::upstream_reused);
        co_return lease(this, std::move(connection));
    }
    // A connection that was handed over but can't be reused is replaced; its
    // permit passes to the new one.
    co_return co_await connect(cancel, deadline);
}

std::unique_ptr<upstream_connection>
upstream_pool::take_idle(core::duration max_idle)
{
    auto const now = core::clock::now();
    // The last connection was used most recently; if it has been idle for too
    // long, so have the others.
    while (!idle_.empty() && now - idle_.back().idle_since <= max_idle)
    {
        auto const usable_until = idle_.back().usable_until;
        auto connection = std::move(idle_.back().connection);
        idle_.pop_back();
        if (now < usable_until && connection->is_reusable())
            return connection;
        state_.events.increment(entry_event::upstream_stale);
        connection->close();
        release_permit();
    }
    return nullptr;
}

asio::awaitable<std::optional<exchange_status>>
upstream_pool::wait_for_permit(cancellation& cancel,
                               core::time_point deadline,
                               std::unique_ptr<upstream_connection>& connection)
{
    if (open_ < limit_)
    {
        ++open_;
        co_return std::nullopt;
    }
    // Connections that are still idle have been so for too long for this
    // request. The oldest one makes room.
    if (!idle_.empty())
    {
        idle_.erase(idle_.begin());
        co_return std::nullopt;
    }
    waiter self(context_);
    waiters_.push_back(self);
    self.timer.expires_at(deadline);
    cancellation_callback on_cancel(
        [&self]
        {
            self.timer.expires_at(core::time_point::min());
        });
    cancel.add_callback(on_cancel);
    co_await self.timer.async_wait(as_result);
    connection = std::move(self.connection);
    co_return self.failure;
}

asio::awaitable<core::result<upstream_pool::lease, exchange_status>>
upstream_pool::connect(cancellation& cancel, core::time_point deadline)
{
    lease result(this, std::make_unique<upstream_connection>(context_));
    cancellation_callback on_cancel(
        [&result]
        {
            result.connection().close();
        });
    cancel.add_callback(on_cancel);
    auto const connect_deadline =
        core::clock::now() + state_.settings.upstreams.connect_timeout;
    auto const error = co_await result.connection().connect(
        peer_, std::min(connect_deadline, deadline));
    if (error)
        co_return core::failure(exchange_status::connect_failure);
    state_.events.increment(entry_event::upstream_connected);
    co_return result;
}

void upstream_pool::close_idle(core::time_point unused_since)
{
    auto const now = core::clock::now();
    auto const kept_end =
        std::partition(idle_.begin(),
                       idle_.end(),
                       [&](idle_connection& item)
                       {
                           return item.idle_since >= unused_since &&
                                  now < item.usable_until &&
                                  item.connection->is_reusable();
                       });
    auto const closed = static_cast<std::size_t>(idle_.end() - kept_end);
    idle_.erase(kept_end, idle_.end());
    for (std::size_t count = 0; count < closed; ++count)
        release_permit();
}

void upstream_pool::withdraw_waiters()
{
    for (auto& item : waiters_)
    {
        item.failure = exchange_status::withdrawn;
        item.timer.cancel();
    }
    waiters_.clear();
}

void upstream_pool::return_connection(
    std::unique_ptr<upstream_connection> connection,
    std::optional<core::duration> keep_for)
{
    auto const now = core::clock::now();
    connection->buffer().release_excess();
    if (waiters_.empty())
        idle_.push_back({std::move(connection),
                         now,
                         keep_for ? now + *keep_for : core::time_point::max()});
    else
        pass_to_waiter(std::move(connection));
}

void upstream_pool::release_permit()
{
    if (waiters_.empty())
        --open_;
    else
        pass_to_waiter(nullptr);
}

void upstream_pool::pass_to_waiter(
    std::unique_ptr<upstream_connection> connection)
{
    waiter& next = waiters_.front();
    waiters_.pop_front();
    next.failure.reset();
    next.connection = std::move(connection);
    next.timer.cancel();
}

} // namespace kumquatloom::entry
