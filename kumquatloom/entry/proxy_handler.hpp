#ifndef KUMQUATLOOM_ENTRY_PROXY_HANDLER_HPP
#define KUMQUATLOOM_ENTRY_PROXY_HANDLER_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/worker_resources.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <string_view>

namespace kumquatloom::entry
{

struct instance_state;

/// Answers the requests of one worker's callers.
class proxy_handler
{
public:
    /// Opens at most `connection_limit` connections to each upstream.
    proxy_handler(asio::io_context& context,
                  instance_state& state,
                  std::size_t connection_limit);

    /// The answer to one request; always complete.
    asio::awaitable<http_response> answer(call& caller);

    /// The answer to a request that could not be received.
    http_response refuse(admission::refusal_reason reason,
                         admission::ticket_presence ticket);

    /// Closes idle connections that were not used since the given time.
    void close_idle(core::time_point unused_since)
    {
        parts_.pools.sweep(unused_since);
    }

private:
    asio::awaitable<http_response>
    forward(call& caller, admission::admitted_request const& admitted);
    asio::awaitable<http_response>
    run(call& caller, admission::admitted_request const& admitted);
    http_response answer_itself(call& caller, std::string_view path);

    /// What all threads share.
    instance_state& state_;
    /// What the worker's requests use together.
    worker_parts parts_;
};

} // namespace kumquatloom::entry

#endif
