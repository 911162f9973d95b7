#ifndef KUMQUATLOOM_REQUEST_STORED_RESPONSE_HPP
#define KUMQUATLOOM_REQUEST_STORED_RESPONSE_HPP

#include <kumquatloom/core/digest.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatloom::request
{

/// A header field that owns its text.
struct stored_field
{
    /// Name of the field.
    std::string name;
    /// Value of the field.
    std::string value;
};

/// The response to a finished ticket, kept for resends. Does not change once
/// it is stored.
struct stored_response : boost::intrusive_ref_counter<stored_response>
{
    /// Sequence number of the ticket.
    std::uint64_t sequence = 0;
    /// Hash of the organisation as it stands in the ticket.
    std::uint64_t organisation = 0;
    /// Digest of the request that was run.
    core::sha256_digest request{};
    /// Status code.
    unsigned status = 0;
    /// Header fields towards the caller.
    std::vector<stored_field> fields;
    /// The body.
    std::string body;

    /// Bytes that the response takes up, roughly.
    std::size_t bytes() const;
};

/// A shared reference to a kept response.
using stored_response_pointer = boost::intrusive_ptr<stored_response const>;

/// Digest of a request, by which a resend is recognised.
core::sha256_digest request_digest(std::string_view method,
                                   std::string_view target,
                                   std::string_view body);

} // namespace kumquatloom::request

#endif
