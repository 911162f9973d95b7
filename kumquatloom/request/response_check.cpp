#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/http_status.hpp>
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

/// Parses a Content-Length value, which may contain digits only.
std::optional<std::uint64_t> parse_length(std::string_view text)
{
    std::uint64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, number);
    if (text.empty() || read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return number;
}

response_verdict check_status(upstream_response const& response)
{
    return core::is_final_status(response.status)
               ? response_verdict::verified
               : response_verdict::not_final_status;
}

response_verdict check_id(upstream_response const& response,
                          core::request_id const& expected,
                          wire_dialect const& dialect)
{
    auto const count = count_fields(response.fields, dialect.request_id);
    if (count == 0)
        return response_verdict::missing_request_id;
    auto const echoed = find_field(response.fields, dialect.request_id);
    if (core::is_mutated(core::mutation::skip_request_id_check))
        return response_verdict::verified;
    if (count > 1 || expected.empty() || *echoed != expected.value())
        return response_verdict::wrong_request_id;
    return response_verdict::verified;
}

/// Whether HTTP allows the response to have a body.
bool has_body(upstream_response const& response)
{
    return !response.is_head_request && response.status != status_no_content &&
           response.status != status_not_modified;
}

response_verdict check_length(upstream_response const& response)
{
    if (!has_body(response))
        return response.body.empty() ? response_verdict::verified
                                     : response_verdict::wrong_length;
    auto const count = count_fields(response.fields, "Content-Length");
    if (count == 0)
        return response_verdict::missing_length;
    auto const length =
        parse_length(*find_field(response.fields, "Content-Length"));
    if (count > 1 || !length || *length != response.body.size())
        return response_verdict::wrong_length;
    return response_verdict::verified;
}

response_verdict check_digest(upstream_response const& response)
{
    auto const count = count_fields(response.fields, "Content-Digest");
    if (count == 0 || !has_body(response) ||
        core::is_mutated(core::mutation::skip_digest_check))
        return response_verdict::verified;
    auto const expected_digest =
        parse_content_digest(*find_field(response.fields, "Content-Digest"));
    if (count > 1 || !expected_digest)
        return response_verdict::malformed_digest;
    // Digests of other algorithms are not verified.
    if (!expected_digest->sha256)
        return response_verdict::verified;
    auto const actual = core::sha256(response.body);
    return core::constant_time_equal(core::as_bytes(actual),
                                     core::as_bytes(*expected_digest->sha256))
               ? response_verdict::verified
               : response_verdict::wrong_digest;
}

/// Whether a successful response carries the dialect's signature field and has
/// not been re-encoded by an intermediary.
response_verdict check_signature(upstream_response const& response,
                                 wire_dialect const& dialect)
{
    bool const success = response.status >= 200 && response.status < 300;
    if (dialect.signature.empty() || !success)
        return response_verdict::verified;
    if (count_fields(response.fields, dialect.signature) != 1)
        return response_verdict::missing_signature;
    // Requests never ask for a content encoding, so an encoded body has been
    // altered on the way.
    return count_fields(response.fields, "Content-Encoding") == 0
               ? response_verdict::verified
               : response_verdict::encoded_body;
}

/// Whether the response states that the upstream did not run the request.
bool implies_not_run(upstream_response const& response,
                     wire_dialect const& dialect)
{
    if (!dialect.expected_upstream.empty() &&
        response.status == status_misdirected)
        return true;
    if (dialect.refusal_status != 0 &&
        response.status != dialect.refusal_status)
        return false;
    auto const field = find_field(response.fields, dialect.refusal);
    return field && count_fields(response.fields, dialect.refusal) == 1 &&
           (dialect.refusal_value.empty() || *field == dialect.refusal_value);
}

} // namespace

response_verdict check_response(upstream_response const& response,
                                core::request_id const& expected,
                                wire_dialect const& dialect)
{
    for (auto const verdict : {check_status(response),
                               check_id(response, expected, dialect),
                               check_length(response),
                               check_digest(response),
                               check_signature(response, dialect)})
        if (verdict != response_verdict::verified)
            return verdict;
    // Only a verified response can prove that the request was not run.
    return implies_not_run(response, dialect) ? response_verdict::refused
                                              : response_verdict::verified;
}

} // namespace kumquatloom::request
