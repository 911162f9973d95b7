#ifndef KUMQUATLOOM_REQUEST_RESPONSE_VERDICT_HPP
#define KUMQUATLOOM_REQUEST_RESPONSE_VERDICT_HPP

#include <string_view>

namespace kumquatloom::request
{

/// Result of verifying an upstream's response.
enum class response_verdict
{
    /// The response belongs to the request and is complete.
    verified,
    /// Verified, and it states that the upstream did not run the request.
    refused,
    /// The status does not exist or does not end an exchange.
    not_final_status,
    missing_request_id,
    wrong_request_id,
    missing_length,
    wrong_length,
    malformed_digest,
    wrong_digest,
    missing_signature,
    /// The body has a content encoding that the request did not ask for.
    encoded_body,
    count
};

/// The value of the metric label.
std::string_view to_string(response_verdict value);

} // namespace kumquatloom::request

#endif
