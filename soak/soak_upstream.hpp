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
#include <soak/random_source.hpp>
#include <soak/request_ledger.hpp>
#include <soak/trouble_clock.hpp>
#include <stand_ins/http_types.hpp>
#include <string>

namespace kumquatloom::soak
{

/// How an upstream misbehaves towards a part of its requests, while it looks
/// well.
enum class sickness
{
    none,
    /// The connection is reset, before or after the request has run.
    reset,
    lose_answer,
    /// The request runs and ends with status 500.
    error,
    /// The request runs for ever.
    hang,
    /// The request is refused.
    shed,
    /// The answer ends early, is followed by another one at once or later, or
    /// is no answer at all.
    cut,
    extra,
    extra_late,
    garbage,
    /// The work takes much longer.
    slow,
    count
};

/// An upstream of the platform that the soak runs, with its slots and queue.
class soak_upstream
{
public:
    /// Checks a promise about a request.
    using check = std::function<void(std::string const& request,
                                     sent_request const& sent,
                                     soak_upstream const& upstream)>;

    /// What is checked when.
    struct checks
    {
        /// A request has arrived that names this upstream.
        check arrived;
        /// The work on a request has ended.
        check worked;
    };

    /// Who it is.
    struct identity
    {
        std::string id;
        std::string service;
        std::string domain;
        /// Unix millisecond of its start.
        long born = 0;
    };

    /// Serves on a port of its own at the IP address.
    soak_upstream(boost::asio::io_context& context,
                  identity self,
                  std::string const& host,
                  request_ledger& ledger,
                  std::uint64_t seed,
                  checks given);

    /// Makes a part of the requests fail.
    void fall_sick(sickness kind, double share);

    /// Resets all connections and accepts no more, as a crash does.
    void crash();

    /// Accepts no more connections and closes each after its answer.
    void leave();

    /// Who it is.
    identity const& self() const
    {
        return self_;
    }

    /// Where it listens.
    settings::endpoint address() const;

    /// When it was in trouble.
    trouble_clock const& trouble() const
    {
        return trouble_;
    }

    /// Requests that began to run.
    std::size_t runs() const
    {
        return runs_;
    }

    /// Since when its leaving is acknowledged by the store.
    std::optional<core::time_point> leaving_since;

private:
    using socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(socket peer);
    boost::asio::awaitable<bool>
    serve_one(socket& peer, stand_ins::http_request const& request);
    boost::asio::awaitable<bool> take_slot(socket& peer,
                                           core::time_point until);
    boost::asio::awaitable<bool> work(socket& peer, sickness how);
    boost::asio::awaitable<bool> answer(socket& peer,
                                        stand_ins::http_request const& request,
                                        std::string const& id,
                                        sickness how);
    std::string
    answer_bytes(std::string const& id, bool keep_alive, sickness how);
    boost::asio::awaitable<bool>
    refuse(socket& peer, std::string const& id, unsigned status);
    sickness draw_sickness();
    void release_slot();

    /// Runs everything.
    boost::asio::io_context& context_;
    /// Who it is.
    identity self_;
    /// What callers have sent.
    request_ledger& ledger_;
    /// Draws work and sickness.
    random_source random_;
    /// See checks.
    checks checks_;
    /// Accepts connections.
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Open connections.
    std::list<socket*> peers_;
    /// What fails, and how often.
    sickness sickness_ = sickness::none;
    double sick_share_ = 0;
    /// Requests at work and in the queue; a change wakes the queue.
    unsigned busy_ = 0;
    unsigned queued_ = 0;
    boost::asio::steady_timer freed_;
    /// Whether it has crashed or leaves.
    bool crashed_ = false;
    bool leaving_ = false;
    /// See runs().
    std::size_t runs_ = 0;
    /// See trouble().
    trouble_clock trouble_;
};

} // namespace kumquatloom::soak

#endif
