#include <kumquatloom/request/answer_verdict.hpp>

namespace kumquatloom::request
{

std::string_view to_string(answer_verdict value)
{
    switch (value)
    {
    case answer_verdict::verified:
        return "verified";
    case answer_verdict::refused:
        return "refused";
    case answer_verdict::missing_request_id:
        return "missing-request-id";
    case answer_verdict::wrong_request_id:
        return "wrong-request-id";
    case answer_verdict::missing_length:
        return "missing-length";
    case answer_verdict::wrong_length:
        return "wrong-length";
    case answer_verdict::malformed_digest:
        return "malformed-digest";
    case answer_verdict::wrong_digest:
        return "wrong-digest";
    case answer_verdict::missing_signature:
        return "missing-signature";
    case answer_verdict::encoded_body:
        return "encoded-body";
    case answer_verdict::count:
        break;
    }
    return {};
}

} // namespace kumquatloom::request
