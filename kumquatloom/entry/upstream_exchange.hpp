#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_EXCHANGE_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_EXCHANGE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/exchange_result.hpp>
#include <kumquatloom/entry/upstream_pool.hpp>
#include <kumquatloom/request/attempt_state.hpp>
#include <kumquatloom/request/deadline.hpp>
#include <kumquatloom/routing/upstream_endpoint.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <string>

namespace kumquatloom::entry
{

class call;
struct instance_state;

/// Sends one request to one upstream and reads the whole answer.
class upstream_exchange
{
public:
    /// What an exchange needs; everything must outlive it.
    struct task
    {
        /// The caller's request.
        call const& caller;
        /// For whom it is made.
        core::organisation_name const& organisation;
        /// All attempts of the request.
        request::attempt_state& attempts;
        /// Number of this attempt.
        std::size_t number;
        /// When the attempt ends.
        request::deadline until;
        /// Ends the attempt before.
        cancellation& ended;
        /// Where the request goes.
        routing::upstream_endpoint const& target;
    };

    /// Does not start yet.
    upstream_exchange(instance_state& state, task const& given);

    /// Takes a connection of the pool, writes, reads and verifies.
    asio::awaitable<exchange_result> run(upstream_pool& pool);

private:
    using parser_type = http::response_parser<http::string_body>;

    asio::awaitable<void> exchange(upstream_pool::lease& lease);
    asio::awaitable<bool> write(upstream_connection& connection);
    asio::awaitable<bool> read(upstream_connection& connection,
                               parser_type& parser);
    asio::awaitable<bool> read_body(upstream_connection& connection,
                                    parser_type& parser);
    bool is_stray(http_response const& answer);
    bool accept(parser_type& parser);
    bool fail(exchange_end end);
    bool fail(error_code error);
    std::string request_head() const;

    /// Settings and counters.
    instance_state& state_;
    /// What to do.
    task task_;
    /// Identifies the request or this attempt; the upstream echoes it.
    core::request_id const id_;
    /// When the first byte was sent.
    core::time_point sent_at_;
    /// What is known so far.
    exchange_result result_;
};

} // namespace kumquatloom::entry

#endif
