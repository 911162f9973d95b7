#ifndef KUMQUATLOOM_ENTRY_CONNECTION_SLOTS_HPP
#define KUMQUATLOOM_ENTRY_CONNECTION_SLOTS_HPP

#include <kumquatloom/entry/http_types.hpp>

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <functional>
#include <utility>

namespace kumquatloom::entry
{

/// Bounds the connections to a port that is not for callers. A connection above
/// the limit takes the place of the one that has waited longest for a request,
/// so that idle connections don't keep out a health check.
class connection_slots
{
public:
    /// The place of one connection, until it is destroyed.
    class slot : public boost::intrusive::list_base_hook<
                     boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    {
    public:
        /// Closes a connection, possibly this one, if there are too many. Both
        /// arguments must outlive the slot.
        slot(connection_slots& slots, beast::tcp_stream& stream);
        ~slot();

        slot(slot const&) = delete;
        slot& operator=(slot const&) = delete;

        /// Protects the connection from being closed while a request is
        /// handled.
        void begin_request();

        /// Ends the protection: the connection waits for its next request.
        void end_request();

    private:
        friend class connection_slots;

        void close();

        connection_slots& slots_;
        beast::tcp_stream& stream_;
        bool is_open_ = true;
    };

    /// Allows `limit` connections. `on_close` is called for each that is closed
    /// to make room.
    explicit connection_slots(std::size_t limit,
                              std::function<void()> on_close = {})
        : limit_(limit)
        , on_close_(std::move(on_close))
    {
    }

    /// Number of open connections.
    std::size_t open() const
    {
        return open_;
    }

private:
    std::size_t const limit_;
    std::function<void()> const on_close_;
    std::size_t open_ = 0;
    /// Connections without a request in progress; the first one has waited
    /// longest.
    boost::intrusive::list<slot, boost::intrusive::constant_time_size<false>>
        waiting_;
};

} // namespace kumquatloom::entry

#endif
