#ifndef KUMQUATLOOM_ENTRY_INBOUND_REQUEST_HPP
#define KUMQUATLOOM_ENTRY_INBOUND_REQUEST_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/admission/request_header_view.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_budget.hpp>
#include <kumquatloom/limits/connection_turn.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatloom::entry
{

/// One request from a caller and its state while the response is produced.
class inbound_request
{
public:
    /// Wraps a request that was read completely at `read_at`. `length` is the
    /// value of the Content-Length field, if there is one.
    inbound_request(http_request received_message,
                    std::optional<std::uint64_t> length,
                    core::time_point read_at);

    inbound_request(inbound_request const&) = delete;
    inbound_request& operator=(inbound_request const&) = delete;

    /// The parsed header; its views point into the request.
    admission::request_header_view const& header() const
    {
        return header_;
    }

    /// The request as received.
    http_request const message;
    /// When the last byte of the request was read.
    core::time_point const received_at;
    /// Turns of the connection if the request is pipelined; null otherwise.
    limits::connection_turn* connection = nullptr;
    /// Whether the request started before an earlier one of its connection was
    /// answered.
    bool runs_ahead = false;
    /// Time from the end of reading to the start of the request, during which
    /// it waited for earlier ones of its connection.
    core::duration behind_others{};
    /// The result of its admission; empty until then and if it was refused.
    std::optional<admission::admitted_request> admitted;
    /// Time from the start of the first upstream attempt to the end of the
    /// last.
    core::duration attempt_time{};
    /// Memory reserved for the response until it has been written, for a
    /// request that runs ahead also before its first attempt.
    memory_budget::reservation response_memory;
    /// Whether the header was rejected for a fault that leaves the end of the
    /// request uncertain. The connection can't be reused then.
    bool has_ambiguous_framing = false;
    /// Whether it was proven that no upstream ran the request.
    bool was_not_run = false;
    /// Requested when the caller disconnects or the instance stops.
    cancellation disconnect;
    /// Whether the instance stops, so that the caller still gets a response.
    bool is_stopped = false;

private:
    /// Views of the header fields in `message`.
    std::vector<admission::header_field> const fields_;
    admission::request_header_view header_;
};

} // namespace kumquatloom::entry

#endif
