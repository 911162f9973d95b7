#include <stand_ins/http_types.hpp>
#include <utility>

namespace kumquatloom::stand_ins
{

http_reply json_reply(unsigned status, std::string body)
{
    http_reply reply;
    reply.response.version(11);
    reply.response.result(status);
    reply.response.set(boost::beast::http::field::content_type,
                       "application/json");
    reply.response.body() = std::move(body);
    reply.response.prepare_payload();
    return reply;
}

http_reply dropped_reply()
{
    http_reply reply;
    reply.drop = true;
    return reply;
}

} // namespace kumquatloom::stand_ins
