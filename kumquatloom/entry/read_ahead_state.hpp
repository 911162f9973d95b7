#ifndef KUMQUATLOOM_ENTRY_READ_AHEAD_STATE_HPP
#define KUMQUATLOOM_ENTRY_READ_AHEAD_STATE_HPP

#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_budget.hpp>
#include <kumquatloom/entry/pipelined_request.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <deque>
#include <memory>

namespace kumquatloom::entry
{

/// What a connection holds while its caller pipelines requests. Other
/// connections have none.
struct read_ahead_state
{
    using parser_type = http::request_parser<http::string_body>;

    explicit read_ahead_state(asio::any_io_executor const& executor)
        : check_timer(executor)
    {
    }

    /// The requests behind the one in front, in order. The first
    /// request::pipeline_state::started() less one of them have started.
    std::deque<boost::intrusive_ptr<pipelined_request>> requests;
    /// The request that is being read; null if there is none.
    std::unique_ptr<parser_type> parser;
    /// Memory reserved for it.
    memory_budget::reservation memory;
    /// Bytes of it that were parsed.
    std::size_t received = 0;
    /// Whether the rest of it is read when it is in front.
    bool is_deferred = false;
    /// Why it is refused once it is in front.
    error_code failure;
    /// Schedules the checks for a disconnect while reading is suspended.
    asio::steady_timer check_timer;
};

} // namespace kumquatloom::entry

#endif
