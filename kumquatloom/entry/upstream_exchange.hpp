#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_EXCHANGE_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_EXCHANGE_HPP

#include <kumquatloom/admission/admitted_request.hpp>
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
#include <utility>

namespace kumquatloom::entry
{

class inbound_request;
class message_memory;
struct instance_state;

/// Sends one request to one upstream, and reads and verifies the complete
/// response.
class upstream_exchange
{
public:
    /// Parameters of an exchange; all references must outlive it.
    struct task
    {
        /// The inbound request.
        inbound_request const& inbound;
        /// The result of its admission.
        admission::admitted_request const& admitted;
        /// State of all attempts of the request.
        request::attempt_state& attempts;
        /// Index of this attempt in `attempts`.
        std::size_t number;
        /// Deadline of the attempt.
        request::deadline until;
        /// Cancels the attempt.
        cancellation& cancel;
        /// The upstream.
        routing::upstream& target;
        /// Reserves memory for the response; null if nothing frees any.
        message_memory* memory = nullptr;
    };

    /// Prepares the exchange; run() starts it.
    upstream_exchange(instance_state& state, task const& exchange_task);

    /// Uses memory that was reserved for the response in advance.
    void use(memory_budget::reservation reserved)
    {
        result_.memory = std::move(reserved);
    }

    /// Acquires a connection from the pool and performs the exchange.
    asio::awaitable<exchange_result> run(upstream_pool& pool);

private:
    using parser_type = http::response_parser<http::string_body>;

    asio::awaitable<void> exchange(upstream_pool::lease& lease);
    asio::awaitable<bool> write(upstream_connection& connection);
    asio::awaitable<bool> read(upstream_connection& connection,
                               parser_type& parser);
    bool reserve(std::size_t bytes);
    asio::awaitable<bool> wait_for_memory(std::size_t bytes);
    void apply_status(http_response const& response);
    bool belongs_to_other_request(http_response const& response) const;
    bool is_stray(http_response const& response);
    bool is_interim(http_response const& response);
    bool verify_response(parser_type& parser);
    bool fail(exchange_status status);
    bool fail(error_code error);
    std::string request_head() const;

    /// Provides settings and counters.
    instance_state& state_;
    task task_;
    /// The request id that the upstream must echo.
    core::request_id const id_;
    /// When the first byte was written.
    core::time_point sent_at_;
    /// Time for which reading was suspended for lack of memory.
    core::duration memory_wait_{};
    /// The result so far.
    exchange_result result_;
};

} // namespace kumquatloom::entry

#endif
