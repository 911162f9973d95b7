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

/// The connections of one worker to one upstream, bounded in number.
class upstream_pool
    : public boost::intrusive_ref_counter<upstream_pool,
                                          boost::thread_unsafe_counter>
{
public:
    /// A connection that is in use. It is closed on destruction unless it was
    /// given back.
    class lease
    {
    public:
        lease(boost::intrusive_ptr<upstream_pool> pool,
              std::unique_ptr<upstream_connection> connection);
        lease(lease&&) noexcept = default;
        lease& operator=(lease&&) = delete;
        ~lease();

        /// Keeps the connection for later exchanges, at most for the time that
        /// the upstream states.
        void give_back(std::optional<core::duration> keep_for = {});

        /// The leased connection.
        upstream_connection& connection()
        {
            return *connection_;
        }

    private:
        /// Where the connection belongs.
        boost::intrusive_ptr<upstream_pool> pool_;
        /// Null after the connection was given back.
        std::unique_ptr<upstream_connection> connection_;
    };

    /// Opens at most `limit` connections to `peer`.
    upstream_pool(asio::io_context& context,
                  instance_state& state,
                  tcp::endpoint peer,
                  std::size_t limit);

    /// A quiet pooled connection that was idle for at most `max_idle`, or a
    /// new one; waits for one while all are in use, until the deadline or the
    /// end of the attempt.
    asio::awaitable<core::result<lease, exchange_end>>
    acquire(cancellation& ended,
            core::time_point deadline,
            core::duration max_idle = core::duration::max());

    /// Closes idle connections that were not used since the given time, or
    /// that the upstream closed.
    void close_idle(core::time_point unused_since);

    /// Connections that are open or being opened.
    std::size_t open() const
    {
        return open_;
    }

    /// Where the connections go.
    tcp::endpoint const& peer() const
    {
        return peer_;
    }

private:
    using waiter_hook = boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    /// An exchange that waits for a place or a connection of the pool.
    struct waiter : waiter_hook
    {
        explicit waiter(asio::io_context& context)
            : timer(context)
        {
        }

        /// Ends the wait.
        asio::steady_timer timer;
        /// Whether the place of another exchange was handed over.
        bool granted = false;
        /// The connection in that place, if it is still open.
        std::unique_ptr<upstream_connection> connection;
    };

    using waiter_list =
        boost::intrusive::list<waiter,
                               boost::intrusive::constant_time_size<false>>;

    /// An idle connection.
    struct idle_connection
    {
        /// The connection.
        std::unique_ptr<upstream_connection> connection;
        /// When its last exchange ended.
        core::time_point since;
        /// When the upstream may close it.
        core::time_point until = core::time_point::max();
    };

    std::unique_ptr<upstream_connection> take_idle(core::duration max_idle);
    asio::awaitable<bool>
    wait_for_place(cancellation& ended,
                   core::time_point deadline,
                   std::unique_ptr<upstream_connection>& connection);
    asio::awaitable<core::result<lease, exchange_end>>
    connect(cancellation& ended, core::time_point deadline);
    void give_back(std::unique_ptr<upstream_connection> connection,
                   std::optional<core::duration> keep_for);
    void release_place();
    void hand_over(std::unique_ptr<upstream_connection> connection);

    /// Runs the connections.
    asio::io_context& context_;
    /// Settings and counters.
    instance_state& state_;
    /// Where the connections go.
    tcp::endpoint peer_;
    /// Most connections at one time.
    std::size_t limit_;
    /// Connections that are open or being opened.
    std::size_t open_ = 0;
    /// Connections that are not in use; the last one was used last.
    std::vector<idle_connection> idle_;
    /// Exchanges that wait, in order of arrival.
    waiter_list waiters_;
};

} // namespace kumquatloom::entry

#endif
