#ifndef KUMQUATLOOM_ENTRY_INBOUND_REQUEST_HPP
#define KUMQUATLOOM_ENTRY_INBOUND_REQUEST_HPP

#include <kumquatloom/admission/request_header_view.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/memory_budget.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatloom::entry
{

/// One request of a caller while it is being answered.
class call
{
public:
    /// A request that was received completely at `when`. `length` is the
    /// length of the body as the header states it.
    call(http_request given,
         std::optional<std::uint64_t> length,
         core::time_point when);

    call(call const&) = delete;
    call& operator=(call const&) = delete;

    /// The header, whose views point into the request.
    admission::request_header_view const& facts() const
    {
        return facts_;
    }

    /// The request as it was received.
    http_request const request;
    /// When the last byte of the request was read.
    core::time_point const received;
    /// Time from the start of the first attempt to the end of the last.
    core::duration attempts{};
    /// The memory of the answer until it is written.
    memory_account::reservation memory;
    /// Whether its header was refused, so that its end is not certain.
    bool is_ambiguous = false;
    /// Requested when the caller goes away.
    cancellation caller_left;

private:
    /// Views of the header fields.
    std::vector<admission::header_field> const fields_;
    /// The header.
    admission::request_header_view facts_;
};

} // namespace kumquatloom::entry

#endif
