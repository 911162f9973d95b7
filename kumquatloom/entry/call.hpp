#ifndef KUMQUATLOOM_ENTRY_CALL_HPP
#define KUMQUATLOOM_ENTRY_CALL_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_account.hpp>
#include <kumquatloom/entry/upstream_connection.hpp>

namespace kumquatloom::entry
{

/// One request of a caller while it is being answered.
class call
{
public:
    /// Names the connection of the running exchange, so that cancel() can
    /// close it.
    class exchange_scope
    {
    public:
        exchange_scope(call& owner, upstream_connection& connection)
            : owner_(owner)
        {
            owner_.active_ = &connection;
        }

        ~exchange_scope()
        {
            owner_.active_ = nullptr;
        }

        exchange_scope(exchange_scope const&) = delete;
        exchange_scope& operator=(exchange_scope const&) = delete;

    private:
        /// The call that the exchange belongs to.
        call& owner_;
    };

    /// A request that was received completely at `received`.
    call(http_request given, core::time_point when)
        : request(std::move(given))
        , received(when)
    {
    }

    /// Gives up: the caller has gone away. Closing the connection cancels the
    /// request at the upstream.
    void cancel()
    {
        cancelled_ = true;
        if (active_ != nullptr)
            active_->close();
    }

    /// Whether the caller has gone away.
    bool cancelled() const
    {
        return cancelled_;
    }

    /// The request as it was received.
    http_request const request;
    /// When the last byte of the request was read.
    core::time_point const received;
    /// Time spent in attempts.
    core::duration attempts{};
    /// The memory of the answer until it is written.
    memory_account::reservation memory;

private:
    /// The connection of the running exchange.
    upstream_connection* active_ = nullptr;
    /// Whether the caller has gone away.
    bool cancelled_ = false;
};

} // namespace kumquatloom::entry

#endif
