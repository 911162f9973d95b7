#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_EXCHANGE_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_EXCHANGE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/entry/attempt.hpp>
#include <kumquatloom/entry/call.hpp>
#include <kumquatloom/entry/upstream_pool.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace kumquatloom::entry
{

struct instance_state;

/// Sends one request to one upstream and reads the whole answer.
class upstream_exchange
{
public:
    /// An attempt of `owner` that ends at `deadline`. All references must
    /// outlive the exchange.
    upstream_exchange(instance_state& state,
                      call& owner,
                      core::organisation_name const& organisation,
                      core::time_point deadline);

    /// Takes a connection of the pool, writes, reads and verifies.
    asio::awaitable<attempt> run(upstream_pool& pool);

private:
    using parser_type = http::response_parser<http::string_body>;

    asio::awaitable<void> exchange(upstream_pool::lease& lease);
    asio::awaitable<bool> write(upstream_connection& connection);
    asio::awaitable<bool> read(upstream_connection& connection,
                               parser_type& parser);
    asio::awaitable<bool> read_body(upstream_connection& connection,
                                    parser_type& parser);
    bool accept(parser_type& parser);
    bool fail(answer_reason reason);
    answer_reason read_failure(error_code error) const;
    std::string request_head() const;

    /// Settings and counters.
    instance_state& state_;
    /// The caller's request.
    call& call_;
    /// For whom the request is made.
    core::organisation_name const& organisation_;
    /// When the attempt ends.
    core::time_point const deadline_;
    /// Identifies this attempt; the upstream echoes it.
    std::string const id_;
    /// What is known so far.
    attempt attempt_;
};

} // namespace kumquatloom::entry

#endif
