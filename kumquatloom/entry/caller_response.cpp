#include <kumquatloom/admission/header_filter.hpp>
#include <kumquatloom/entry/caller_response.hpp>
#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/request/header_names.hpp>
#include <kumquatloom/request/outcome.hpp>

#include <utility>

namespace kumquatloom::entry
{

http_response caller_answer(http_response answer)
{
    http_response result;
    result.version(11);
    result.result(answer.result_int());
    // The length stays as it was verified, also in an answer to HEAD.
    for (auto const& field : admission::fields_for_caller(header_views(answer)))
        result.insert(field.name, field.value);
    result.set(request::header_names::outcome,
               to_string(request::outcome::completed));
    result.body() = std::move(answer.body());
    return result;
}

boost::intrusive_ptr<request::stored_response>
keep_answer(http_response const& answer)
{
    boost::intrusive_ptr<request::stored_response> kept(
        new request::stored_response);
    kept->status = answer.result_int();
    for (auto const& field : header_views(answer))
        kept->fields.push_back(
            {std::string(field.name), std::string(field.value)});
    kept->body = answer.body();
    return kept;
}

http_response kept_answer(request::stored_response const& kept)
{
    http_response result;
    result.version(11);
    result.result(kept.status);
    for (auto const& field : kept.fields)
        result.insert(field.name, field.value);
    result.body() = kept.body;
    return result;
}

} // namespace kumquatloom::entry
