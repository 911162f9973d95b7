#ifndef KUMQUATLOOM_REQUEST_RESPONSE_VERDICT_HPP
#define KUMQUATLOOM_REQUEST_RESPONSE_VERDICT_HPP

#include <string_view>

namespace kumquatloom::request
{

/// What the verification of an upstream's answer found.
enum class response_verdict
{
    /// The answer belongs to the request and is complete.
    verified,
    /// As verified, and the upstream states that it did not run the request.
    refused,
    missing_request_id,
    wrong_request_id,
    missing_length,
    wrong_length,
    malformed_digest,
    wrong_digest,
    missing_signature,
    /// A body in an encoding that nobody asked for.
    encoded_body,
    count
};

/// Text of the metric label.
std::string_view to_string(response_verdict value);

} // namespace kumquatloom::request

#endif
