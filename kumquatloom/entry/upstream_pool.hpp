#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_POOL_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_POOL_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/entry/exchange_result.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/upstream_connection.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace kumquatloom::entry
{

struct instance_state;
class cancellation;

/// Connection pool of one worker for one upstream, limited in size.
class upstream_pool
    : public boost::intrusive_ref_counter<upstream_pool,
                                          boost::thread_unsafe_counter>
{
public:
    /// An acquired connection. It is closed on destruction unless it was
    /// returned to the pool.
    class lease
    {
    public:
        lease(boost::intrusive_ptr<upstream_pool> pool,
              std::unique_ptr<upstream_connection> connection);
        lease(lease&&) noexcept = default;
        lease& operator=(lease&&) = delete;
        ~lease();

        /// Returns the connection to the pool for reuse, at most for the
        /// keep-alive time that the upstream states.
        void return_connection(std::optional<core::duration> keep_for = {});

        upstream_connection& connection()
        {
            return *connection_;
        }

    private:
        boost::intrusive_ptr<upstream_pool> pool_;
        /// Null after the connection was returned.
        std::unique_ptr<upstream_connection> connection_;
    };

    /// Opens at most `limit` connections to `peer`.
    upstream_pool(asio::io_context& context,
                  instance_state& state,
                  tcp::endpoint peer,
                  std::size_t limit);

    /// Acquires a reusable pooled connection that was idle for at most
    /// `max_idle`, or a new one. While all are in use, waits for one until the
    /// deadline, cancellation or withdraw_waiters().
    asio::awaitable<core::result<lease, exchange_status>>
    acquire(cancellation& cancel,
            core::time_point deadline,
            core::duration max_idle = core::duration::max());

    /// Closes idle connections that were last used before `unused_since`, that
    /// have expired, or that the upstream closed.
    void close_idle(core::time_point unused_since);

    /// Ends the waits for a connection, because the upstream gets nothing new.
    void withdraw_waiters();

    /// Number of exchanges that wait for a connection.
    std::size_t waiting() const
    {
        return waiters_.size();
    }

    /// Number of connections that are open or being opened.
    std::size_t open() const
    {
        return open_;
    }

    /// The address of the upstream.
    tcp::endpoint const& peer() const
    {
        return peer_;
    }

private:
    using waiter_hook = boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    /// An exchange that waits for a connection, or for the permit to open one.
    struct waiter : waiter_hook
    {
        explicit waiter(asio::io_context& context)
            : timer(context)
        {
        }

        /// Expires when the wait ends.
        asio::steady_timer timer;
        /// Why there is no permit; nothing if another exchange has handed over
        /// its own.
        std::optional<exchange_status> failure = exchange_status::no_connection;
        /// The connection that was handed over with the permit; null if that
        /// connection was closed.
        std::unique_ptr<upstream_connection> connection;
    };

    using waiter_list =
        boost::intrusive::list<waiter,
                               boost::intrusive::constant_time_size<false>>;

    /// A connection that is not in use.
    struct idle_connection
    {
        std::unique_ptr<upstream_connection> connection;
        /// When its last exchange ended.
        core::time_point idle_since;
        /// When the upstream may close the connection.
        core::time_point usable_until = core::time_point::max();
    };

    std::unique_ptr<upstream_connection> take_idle(core::duration max_idle);
    asio::awaitable<std::optional<exchange_status>>
    wait_for_permit(cancellation& cancel,
                    core::time_point deadline,
                    std::unique_ptr<upstream_connection>& connection);
    asio::awaitable<core::result<lease, exchange_status>>
    connect(cancellation& cancel, core::time_point deadline);
    void return_connection(std::unique_ptr<upstream_connection> connection,
                           std::optional<core::duration> keep_for);
    void release_permit();
    void pass_to_waiter(std::unique_ptr<upstream_connection> connection);

    /// Executes the connections' coroutines.
    asio::io_context& context_;
    /// Provides settings and counters.
    instance_state& state_;
    /// The address of the upstream.
    tcp::endpoint peer_;
    /// Maximum number of connections.
    std::size_t limit_;
    /// Number of connections that are open or being opened.
    std::size_t open_ = 0;
    /// Idle connections; the last one was used most recently.
    std::vector<idle_connection> idle_;
    /// Waiting exchanges in order of arrival.
    waiter_list waiters_;
};

} // namespace kumquatloom::entry

#endif
