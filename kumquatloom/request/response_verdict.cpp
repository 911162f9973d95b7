#include <kumquatloom/request/response_verdict.hpp>

namespace kumquatloom::request
{

std::string_view to_string(response_verdict value)
{
    switch (value)
    {
    case response_verdict::verified:
        return "verified";
    case response_verdict::refused:
        return "refused";
    case response_verdict::not_final_status:
        return "not-final-status";
    case response_verdict::missing_request_id:
        return "missing-request-id";
    case response_verdict::wrong_request_id:
        return "wrong-request-id";
    case response_verdict::missing_length:
        return "missing-length";
    case response_verdict::wrong_length:
        return "wrong-length";
    case response_verdict::malformed_digest:
        return "malformed-digest";
    case response_verdict::wrong_digest:
        return "wrong-digest";
    case response_verdict::missing_signature:
        return "missing-signature";
    case response_verdict::encoded_body:
        return "encoded-body";
    case response_verdict::count:
        break;
    }
    return {};
}

} // namespace kumquatloom::request
