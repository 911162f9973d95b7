#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/request/header_names.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Seconds with three decimal places, rounded up so that callers don't return
/// before the time. Callers that need a coarser value round it.
std::string seconds_text(core::duration time)
{
    auto const ms = std::chrono::ceil<std::chrono::milliseconds>(time).count();
    auto fraction = std::to_string(1000 + ms % 1000);
    fraction.front() = '.';
    return std::to_string(ms / 1000) + fraction;
}

} // namespace

http_response local_response(admission::refusal_reason reason,
                             request::outcome outcome,
                             std::optional<core::duration> retry_delay)
{
    namespace names = request::header_names;
    std::string const outcome_name(to_string(outcome));
    std::string const reason_name(to_string(reason));
    auto response =
        json_response(http::int_to_status(http_status(reason)),
                      R"({"outcome":")" + outcome_name + R"(","reason":")" +
                          reason_name + "\"}\n");
    response.set(names::outcome, outcome_name);
    response.set(names::reason, reason_name);
    if (retry_delay)
        response.set(http::field::retry_after, seconds_text(*retry_delay));
    if (response.result() == http::status::unauthorized)
        response.set(http::field::www_authenticate, "Bearer");
    return response;
}

http_response json_response(http::status status, std::string body)
{
    http_response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace kumquatloom::entry
