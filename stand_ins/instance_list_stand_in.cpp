#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <stand_ins/instance_list_stand_in.hpp>
#include <stand_ins/query.hpp>
#include <utility>

namespace kumquatloom::stand_ins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

instance_list_stand_in::instance_list_stand_in(asio::io_context& context,
                                               settings::endpoint const& listen,
                                               std::chrono::milliseconds lag)
    : lag_(lag)
    , server_(context,
              listen,
              [this](http_request const& request)
              {
                  return handle_request(request);
              })
{
}

void instance_list_stand_in::upsert(json::object instance)
{
    std::string id(instance.at("id").as_string());
    pending_.push_back({std::chrono::steady_clock::now() + lag_,
                        std::move(id),
                        std::move(instance)});
}

void instance_list_stand_in::remove(std::string const& id)
{
    pending_.push_back({std::chrono::steady_clock::now() + lag_, id, {}});
}

asio::awaitable<http_reply>
instance_list_stand_in::handle_request(http_request const& request)
{
    auto const path = target_path(
        std::string_view(request.target().data(), request.target().size()));
    if (request.method() == http::verb::post && path == "/control")
    {
        auto const value = json::parse(std::string(request.body()));
        if (auto const* const outage = value.at("outage").if_bool())
            outage_ = *outage;
        co_return json_reply(200, "{}");
    }
    if (path != "/instances")
        co_return json_reply(404, R"({"error":"no such path"})");
    if (request.method() != http::verb::get)
        co_return handle_change(request);
    if (outage_)
        co_return json_reply(503, R"({"error":"outage"})");
    co_return json_reply(200, render());
}

http_reply instance_list_stand_in::handle_change(http_request const& request)
{
    boost::system::error_code error;
    auto value = json::parse(request.body(), error);
    if (error || !value.is_object() || !value.get_object().contains("id"))
        return json_reply(400, R"({"error":"id is missing"})");
    if (request.method() == http::verb::delete_)
        remove(std::string(value.at("id").as_string()));
    else
        upsert(std::move(value.get_object()));
    return json_reply(200, "{}");
}

std::string instance_list_stand_in::render()
{
    // Apply the changes that have become visible.
    auto const now = std::chrono::steady_clock::now();
    while (!pending_.empty() && pending_.front().visible_from <= now)
    {
        auto& first = pending_.front();
        if (first.instance.empty())
            visible_.erase(first.id);
        else
            visible_[first.id] = std::move(first.instance);
        pending_.pop_front();
    }
    json::array instances;
    for (auto const& [id, instance] : visible_)
        instances.push_back(instance);
    return json::serialize(json::object{{"instances", std::move(instances)}});
}

} // namespace kumquatloom::stand_ins
