#ifndef KUMQUATLOOM_ENTRY_PIPELINED_REQUEST_HPP
#define KUMQUATLOOM_ENTRY_PIPELINED_REQUEST_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/in_flight_scope.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/memory_budget.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>
#include <utility>

namespace kumquatloom::entry
{

/// A request that was read while an earlier one of its connection was not
/// answered yet.
class pipelined_request
    : public boost::intrusive_ref_counter<pipelined_request,
                                          boost::thread_unsafe_counter>
{
public:
    pipelined_request(asio::any_io_executor const& executor,
                      http_request message,
                      std::optional<std::uint64_t> length,
                      bool allows_keep_alive)
        : inbound(std::move(message), length, core::clock::now())
        , keep_alive(allows_keep_alive)
        , finished(executor)
    {
    }

    /// The request has ended, with or without a response.
    void finish()
    {
        is_done = true;
        finished.cancel();
    }

    inbound_request inbound;
    /// Whether the caller allows further requests on the connection.
    bool const keep_alive;
    /// Memory reserved for the request, and its size.
    memory_budget::reservation memory;
    std::size_t bytes = 0;
    /// Counts the request as in flight once it has started.
    std::optional<in_flight_scope> in_flight;
    /// Whether the request has ended.
    bool is_done = false;
    /// The response; empty if the request was dropped or failed.
    std::optional<http_response> response;
    /// Cancelled when the request ends.
    asio::steady_timer finished;
};

} // namespace kumquatloom::entry

#endif
