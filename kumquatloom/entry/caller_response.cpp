#include <kumquatloom/admission/header_filter.hpp>
#include <kumquatloom/entry/caller_response.hpp>
#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/request/header_names.hpp>
#include <kumquatloom/request/outcome.hpp>

#include <utility>

namespace kumquatloom::entry
{

http_response caller_response(http_response response)
{
    http_response result;
    result.version(11);
    result.result(response.result_int());
    // Content-Length keeps its verified value, also in a response to HEAD.
    for (auto const& field :
         admission::fields_for_caller(header_views(response)))
        result.insert(field.name, field.value);
    result.set(request::header_names::outcome,
               to_string(request::outcome::completed));
    result.body() = std::move(response.body());
    return result;
}

boost::intrusive_ptr<request::stored_response>
make_stored_response(http_response const& response)
{
    boost::intrusive_ptr<request::stored_response> stored(
        new request::stored_response);
    stored->status = response.result_int();
    for (auto const& field : header_views(response))
        stored->fields.push_back(
            {std::string(field.name), std::string(field.value)});
    stored->body = response.body();
    return stored;
}

http_response restore_response(request::stored_response const& stored)
{
    http_response result;
    result.version(11);
    result.result(stored.status);
    for (auto const& field : stored.fields)
        result.insert(field.name, field.value);
    result.body() = stored.body;
    return result;
}

} // namespace kumquatloom::entry
