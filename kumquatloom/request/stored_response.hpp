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

/// A header field that owns its name and value.
struct stored_field
{
    std::string name;
    std::string value;
};

/// The response to the request of a finished ticket, stored for resends of the
/// request. Immutable once it is in a response_store.
struct stored_response : boost::intrusive_ref_counter<stored_response>
{
    /// Sequence number of the ticket.
    std::uint64_t sequence = 0;
    /// Hash of the organisation, the same as in the ticket.
    std::uint64_t organisation = 0;
    /// Digest of the request that was run.
    core::sha256_digest request{};
    unsigned status = 0;
    /// Header fields that are sent to the caller.
    std::vector<stored_field> fields;
    std::string body;

    /// Approximate memory use in bytes.
    std::size_t bytes() const;
};

using stored_response_pointer = boost::intrusive_ptr<stored_response const>;

/// Digest of a request. A resend must have the digest of the original request.
core::sha256_digest request_digest(std::string_view method,
                                   std::string_view target,
                                   std::string_view body);

} // namespace kumquatloom::request

#endif
