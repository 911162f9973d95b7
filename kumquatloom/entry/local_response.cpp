#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/request/header_names.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Seconds with three places, which callers round as they can.
std::string seconds_text(core::duration time)
{
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    auto fraction = std::to_string(1000 + ms % 1000);
    fraction.front() = '.';
    return std::to_string(ms / 1000) + fraction;
}

} // namespace

http_response system_answer(admission::refusal_reason reason,
                            request::outcome outcome,
                            std::optional<core::duration> come_back)
{
    namespace names = request::header_names;
    std::string const known(to_string(outcome));
    std::string const name(to_string(reason));
    auto answer = json_response(http::int_to_status(http_status(reason)),
                                R"({"outcome":")" + known + R"(","reason":")" +
                                    name + "\"}\n");
    answer.set(names::outcome, known);
    answer.set(names::reason, name);
    if (come_back)
        answer.set(http::field::retry_after, seconds_text(*come_back));
    if (answer.result() == http::status::unauthorized)
        answer.set(http::field::www_authenticate, "Bearer");
    return answer;
}

http_response json_response(http::status status, std::string body)
{
    http_response answer(status, 11);
    answer.set(http::field::content_type, "application/json");
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

} // namespace kumquatloom::entry
