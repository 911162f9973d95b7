#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/request/content_digest.hpp>
#include <kumquatloom/request/response_check.hpp>
#include <kumquatloom/request/wire_dialect.hpp>

#include <charconv>
#include <cstdint>
#include <optional>

namespace kumquatloom::request
{

namespace
{

constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_misdirected = 421;

/// The number in a Content-Length field; digits only.
std::optional<std::uint64_t> parse_length(std::string_view text)
{
    std::uint64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, number);
    if (text.empty() || read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return number;
}

response_verdict check_id(answer_facts const& answer,
                          core::request_id const& expected,
                          wire_dialect const& dialect)
{
    auto const count = count_fields(answer.fields, dialect.request_id);
    if (count == 0)
        return response_verdict::missing_request_id;
    auto const echoed = find_field(answer.fields, dialect.request_id);
    if (core::is_mutated(core::mutation::skip_request_id_check))
        return response_verdict::verified;
    if (count > 1 || expected.empty() || *echoed != expected.value())
        return response_verdict::wrong_request_id;
    return response_verdict::verified;
}

/// Whether the protocol gives the answer a body.
bool has_body(answer_facts const& answer)
{
    return !answer.to_head && answer.status != status_no_content &&
           answer.status != status_not_modified;
}

response_verdict check_length(answer_facts const& answer)
{
    if (!has_body(answer))
        return answer.body.empty() ? response_verdict::verified
                                   : response_verdict::wrong_length;
    auto const count = count_fields(answer.fields, "Content-Length");
    if (count == 0)
        return response_verdict::missing_length;
    auto const length =
        parse_length(*find_field(answer.fields, "Content-Length"));
    if (count > 1 || !length || *length != answer.body.size())
        return response_verdict::wrong_length;
    return response_verdict::verified;
}

response_verdict check_digest(answer_facts const& answer)
{
    auto const count = count_fields(answer.fields, "Content-Digest");
    if (count == 0 || !has_body(answer) ||
        core::is_mutated(core::mutation::skip_digest_check))
        return response_verdict::verified;
    auto const stated =
        parse_content_digest(*find_field(answer.fields, "Content-Digest"));
    if (count > 1 || !stated)
        return response_verdict::malformed_digest;
    // Only another algorithm was used, which is not verified.
    if (!stated->sha256)
        return response_verdict::verified;
    auto const actual = core::sha256(answer.body);
    return core::constant_time_equal(core::as_bytes(actual),
                                     core::as_bytes(*stated->sha256))
               ? response_verdict::verified
               : response_verdict::wrong_digest;
}

/// Whether a success is the upstream's own body, as far as the dialect tells.
response_verdict check_signature(answer_facts const& answer,
                                 wire_dialect const& dialect)
{
    bool const success = answer.status >= 200 && answer.status < 300;
    if (dialect.signature.empty() || !success)
        return response_verdict::verified;
    if (count_fields(answer.fields, dialect.signature) != 1)
        return response_verdict::missing_signature;
    // Callers ask for no encoding, so that an encoded body was altered.
    return count_fields(answer.fields, "Content-Encoding") == 0
               ? response_verdict::verified
               : response_verdict::encoded_body;
}

/// Whether the answer states that the request was not run.
bool states_refusal(answer_facts const& answer, wire_dialect const& dialect)
{
    if (!dialect.expected_upstream.empty() &&
        answer.status == status_misdirected)
        return true;
    if (dialect.refusal_status != 0 && answer.status != dialect.refusal_status)
        return false;
    auto const stated = find_field(answer.fields, dialect.refusal);
    return stated && count_fields(answer.fields, dialect.refusal) == 1 &&
           (dialect.refusal_value.empty() || *stated == dialect.refusal_value);
}

} // namespace

response_verdict check_response(answer_facts const& answer,
                                core::request_id const& expected,
                                wire_dialect const& dialect)
{
    for (auto const verdict : {check_id(answer, expected, dialect),
                               check_length(answer),
                               check_digest(answer),
                               check_signature(answer, dialect)})
        if (verdict != response_verdict::verified)
            return verdict;
    // Only a verified answer may prove that the request was not run.
    return states_refusal(answer, dialect) ? response_verdict::refused
                                           : response_verdict::verified;
}

} // namespace kumquatloom::request
