#include <kumquatloom/entry/header_names.hpp>
#include <kumquatloom/entry/system_answer.hpp>

namespace kumquatloom::entry
{

http_response system_answer(answer_reason reason, execution known)
{
    std::string const outcome =
        known == execution::not_run ? "not-run" : "unknown";
    std::string const name(to_string(reason));
    auto answer = json_answer(http::int_to_status(http_status(reason)),
                              R"({"outcome":")" + outcome + R"(","reason":")" +
                                  name + "\"}\n");
    answer.set(outcome_header, outcome);
    answer.set(reason_header, name);
    if (reason == answer_reason::unauthenticated)
        answer.set(http::field::www_authenticate, "Bearer");
    return answer;
}

http_response json_answer(http::status status, std::string body)
{
    http_response answer(status, 11);
    answer.set(http::field::content_type, "application/json");
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

} // namespace kumquatloom::entry
