#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_POOL_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_POOL_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/entry/answer_reason.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/upstream_connection.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace kumquatloom::entry
{

struct instance_state;
class call;

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

        /// Keeps the connection for later exchanges.
        void give_back();

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

    /// A quiet pooled connection or a new one; waits for one while all are in
    /// use, until the deadline or the end of the call.
    asio::awaitable<core::result<lease, answer_reason>>
    acquire(call& call, core::time_point deadline);

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
    };

    std::unique_ptr<upstream_connection> take_idle();
    asio::awaitable<bool>
    wait_for_place(call& call,
                   core::time_point deadline,
                   std::unique_ptr<upstream_connection>& connection);
    asio::awaitable<core::result<lease, answer_reason>>
    connect(call& call, core::time_point deadline);
    void give_back(std::unique_ptr<upstream_connection> connection);
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
