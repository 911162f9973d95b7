#ifndef KUMQUATLOOM_SOAK_SOAK_UPSTREAM_HPP
#define KUMQUATLOOM_SOAK_SOAK_UPSTREAM_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <optional>
#include <soak/disturbance_clock.hpp>
#include <soak/random_source.hpp>
#include <soak/request_ledger.hpp>
#include <stand_ins/http_types.hpp>
#include <string>

namespace kumquatloom::soak
{

/// Gray failure of an upstream; it affects a fraction of the requests.
enum class upstream_fault
{
    none,
    /// The connection is reset before or after the request is executed.
    reset,
    lose_response,
    /// The request is executed and the response has status 500.
    error,
    /// The request does not finish.
    hang,
    /// The request is refused.
    shed,
    /// The response is truncated, is followed by a second one at once or later,
    /// or is not valid HTTP.
    cut,
    extra,
    extra_late,
    garbage,
    /// The service time is much longer.
    slow,
    count
};

/// A simulated upstream with slots and a queue.
class soak_upstream
{
public:
    /// Callback for an event of a request.
    using check = std::function<void(std::string const& request,
                                     sent_request const& sent,
                                     soak_upstream const& upstream)>;

    /// Callbacks that check the guarantees.
    struct checks
    {
        /// A request that names this upstream has arrived.
        check on_arrival;
        /// A request has been executed.
        check on_completion;
    };

    /// Identity of an upstream in the store.
    struct identity
    {
        std::string id;
        std::string service;
        std::string domain;
        /// Start time in Unix milliseconds.
        long born = 0;
    };

    /// Listens on a free port of the IP address.
    soak_upstream(boost::asio::io_context& context,
                  identity self,
                  std::string const& host,
                  request_ledger& ledger,
                  std::uint64_t seed,
                  checks given);

    /// Makes a fraction of the requests fail; `none` ends the fault.
    void apply_fault(upstream_fault kind, double share);

    /// Resets all connections and stops accepting, like a crash.
    void crash();

    /// Closes each connection after its current response.
    void leave();

    /// Identity of this upstream.
    identity const& self() const
    {
        return self_;
    }

    /// Address at which the upstream listens.
    settings::endpoint address() const;

    /// When faults disturbed the upstream.
    disturbance_clock const& disturbance() const
    {
        return disturbance_;
    }

    /// Number of requests whose execution began.
    std::size_t executions() const
    {
        return executions_;
    }

    /// When the store acknowledged that the upstream leaves; unset if the store
    /// had been disturbed shortly before.
    std::optional<core::time_point> leaving_since;

private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(socket peer);
    boost::asio::awaitable<bool>
    serve_one(socket& peer, stand_ins::http_request const& request);
    boost::asio::awaitable<bool> take_slot(socket& peer,
                                           core::time_point until);
    boost::asio::awaitable<bool> execute(socket& peer, upstream_fault fault);
    boost::asio::awaitable<bool>
    execute_and_respond(socket& peer,
                        stand_ins::http_request const& request,
                        std::string const& id,
                        upstream_fault fault);
    std::string serialize_response(std::string const& id,
                                   bool keep_alive,
                                   upstream_fault fault);
    boost::asio::awaitable<bool>
    refuse(socket& peer, std::string const& id, unsigned status);
    upstream_fault draw_fault();
    void release_slot();

    /// Runs the coroutines.
    boost::asio::io_context& context_;
    /// See self().
    identity self_;
    /// Records arrivals, executions and responses.
    request_ledger& ledger_;
    /// Random numbers of this upstream.
    random_source random_;
    /// Callbacks that check the guarantees.
    checks checks_;
    /// Accepts connections.
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Open connections.
    std::list<socket*> peers_;
    /// The current fault, and the fraction of requests that it affects.
    upstream_fault fault_ = upstream_fault::none;
    double faulty_share_ = 0;
    /// Executing and queued requests. Cancelling the timer wakes the queue when
    /// a slot is released.
    unsigned busy_ = 0;
    unsigned queued_ = 0;
    boost::asio::steady_timer freed_;
    /// Whether the upstream has crashed or is leaving.
    bool crashed_ = false;
    bool leaving_ = false;
    /// See executions().
    std::size_t executions_ = 0;
    /// See disturbance().
    disturbance_clock disturbance_;
};

} // namespace kumquatloom::soak

#endif
