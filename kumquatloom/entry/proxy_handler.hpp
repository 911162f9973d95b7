#ifndef KUMQUATLOOM_ENTRY_PROXY_HANDLER_HPP
#define KUMQUATLOOM_ENTRY_PROXY_HANDLER_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/worker_resources.hpp>
#include <kumquatloom/request/start_decision.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <string_view>

namespace kumquatloom::entry
{

struct instance_state;

/// Handles the requests of one worker's callers: admits them, applies the
/// limits and forwards them to upstreams.
class proxy_handler
{
public:
    /// Opens at most `connection_limit` connections to each upstream.
    proxy_handler(asio::io_context& context,
                  instance_state& state,
                  std::size_t connection_limit);

    /// Lets responses wait for memory, and free that of slow readers, when it
    /// is short. The memory must outlive the requests.
    void connect(message_memory& memory)
    {
        resources_.memory = &memory;
    }

    /// Handles one request and returns the complete response.
    asio::awaitable<http_response> handle(inbound_request& inbound);

    /// Admits a request that would start beside others of its connection. The
    /// result decides whether it starts now; handle() must follow then.
    request::start_decision admit_ahead(inbound_request& inbound);

    /// Counts a refusal and returns its response, for example to a request that
    /// could not be read.
    http_response refuse(admission::refusal_reason reason,
                         admission::ticket_presence ticket);

    /// Withdraws the requests that wait for connections to upstreams that are
    /// leaving.
    void withdraw_from_leaving()
    {
        resources_.pools.withdraw_leaving();
    }

    /// Closes idle upstream connections that were last used before
    /// `unused_since`, and removes the queues of retired services.
    void sweep(core::time_point unused_since)
    {
        resources_.pools.sweep(unused_since);
        resources_.queues.sweep();
    }

private:
    /// Counts a request that is refused before it is queued.
    void record_unserved(admission::admitted_request const& admitted);

    /// Reserves the expected size of the response to a request that would start
    /// ahead. Sizes that the bound of the connection covers need none.
    bool reserve_response(inbound_request& inbound, std::size_t expected) const;
    asio::awaitable<http_response>
    forward(inbound_request& inbound,
            admission::admitted_request const& admitted);
    /// As execute(), after taking a token of the organisation's quota. The
    /// token is returned if the request provably didn't run.
    asio::awaitable<http_response>
    execute_within_quota(inbound_request& inbound,
                         admission::admitted_request const& admitted);
    asio::awaitable<http_response>
    execute(inbound_request& inbound,
            admission::admitted_request const& admitted);
    http_response handle_own_path(inbound_request& inbound,
                                  std::string_view path);

    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Connections and queues of the worker.
    worker_resources resources_;
};

} // namespace kumquatloom::entry

#endif
