#include <kumquatloom/entry/forwarded_headers.hpp>
#include <kumquatloom/entry/header_names.hpp>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <utility>
#include <vector>

namespace kumquatloom::entry
{

namespace
{

/// Headers of one connection by RFC 9110, and the framing, which is written
/// anew.
bool is_connection_header(http::field name)
{
    switch (name)
    {
    case http::field::connection:
    case http::field::proxy_connection:
    case http::field::keep_alive:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
        return true;
    default:
        return false;
    }
}

bool is_own_header(beast::string_view name)
{
    return name.size() >= own_header_prefix.size() &&
           beast::iequals(name.substr(0, own_header_prefix.size()),
                          own_header_prefix);
}

} // namespace

void append_header(std::string_view name,
                   std::string_view value,
                   std::string& head)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

void append_forwarded_headers(http_request const& request, std::string& head)
{
    http::token_list named(request[http::field::connection]);
    for (auto const& header : request)
    {
        if (is_connection_header(header.name()) ||
            header.name() == http::field::authorization ||
            is_own_header(header.name_string()) ||
            named.exists(header.name_string()))
            continue;
        auto const name = header.name_string();
        auto const value = header.value();
        append_header(
            {name.data(), name.size()}, {value.data(), value.size()}, head);
    }
}

http_response forwarded_answer(http_response answer, bool without_body)
{
    std::string const length(answer[http::field::content_length]);
    http::token_list named(answer[http::field::connection]);
    http_response result;
    result.version(11);
    result.result(answer.result_int());
    for (auto const& header : answer)
        if (!is_connection_header(header.name()) &&
            !is_own_header(header.name_string()) &&
            !named.exists(header.name_string()))
            result.insert(header.name_string(), header.value());
    result.set(outcome_header, "completed");
    result.body() = std::move(answer.body());
    // The length of an answer to HEAD is that of the body that GET would get.
    if (!without_body)
        result.prepare_payload();
    else if (!length.empty())
        result.set(http::field::content_length, length);
    return result;
}

} // namespace kumquatloom::entry
