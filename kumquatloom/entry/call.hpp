#ifndef KUMQUATLOOM_ENTRY_CALL_HPP
#define KUMQUATLOOM_ENTRY_CALL_HPP

#include <kumquatloom/admission/request_facts.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_account.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatloom::entry
{

/// One request from a caller and its state while the response is produced.
class call
{
public:
    /// Wraps a request that was read completely at `when`. `length` is the
    /// value of the Content-Length field, if there is one.
    call(http_request given,
         std::optional<std::uint64_t> length,
         core::time_point when);

    call(call const&) = delete;
    call& operator=(call const&) = delete;

    /// The parsed header; its views point into the request.
    admission::request_facts const& facts() const
    {
        return facts_;
    }

    /// The request as received.
    http_request const request;
    /// When the last byte of the request was read.
    core::time_point const received;
    /// Time from the start of the first upstream attempt to the end of the
    /// last.
    core::duration attempts{};
    /// Memory reserved for the response until it has been written.
    memory_account::reservation memory;
    /// Whether the header was rejected for a fault that leaves the end of the
    /// request uncertain. The connection can't be reused then.
    bool is_ambiguous = false;
    /// Requested when the caller disconnects.
    cancellation caller_left;

private:
    /// Views of the header fields in `request`.
    std::vector<admission::header_field> const fields_;
    admission::request_facts facts_;
};

} // namespace kumquatloom::entry

#endif
