#include <kumquatloom/admission/header_filter.hpp>
#include <kumquatloom/core/http_status.hpp>
#include <kumquatloom/entry/buffered_size.hpp>
#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/owner_forwarder.hpp>
#include <kumquatloom/log_service/read_message.hpp>
#include <kumquatloom/request/header_names.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace kumquatloom::entry
{

owner_forwarder::owner_forwarder(asio::io_context& context,
                                 instance_state& state)
    : context_(context)
    , state_(state)
{
}

asio::awaitable<std::optional<http_response>>
owner_forwarder::forward(inbound_request& inbound,
                         core::instance_id const& owner,
                         request::deadline until)
{
    auto const owner_address = address_of(owner);
    if (!owner_address)
        co_return std::nullopt;
    beast::tcp_stream stream(context_);
    cancellation_callback on_cancel(
        [&stream]
        {
            stream.close();
        });
    inbound.disconnect.add_callback(on_cancel);
    auto const connect_deadline =
        core::clock::now() + state_.settings.upstreams.connect_timeout;
    stream.expires_at(std::min(until.at(), connect_deadline));
    auto const [error] =
        co_await stream.async_connect(*owner_address, as_result);
    if (error)
        co_return std::nullopt;
    state_.events.increment(entry_event::ticket_forwarded);
    stream.expires_at(until.at());
    co_return co_await exchange(stream, inbound, until);
}

std::optional<tcp::endpoint>
owner_forwarder::address_of(core::instance_id const& owner) const
{
    std::optional<settings::endpoint> address;
    if (auto const fleet = state_.fleet.read())
    {
        for (auto const& instance : fleet->instances)
            if (instance.id == owner)
                address = settings::parse_endpoint(instance.callers_address);
    }
    else if (auto const list = state_.instance_list.read())
    {
        for (auto const& entry : list->list.entries)
            if (entry.id == owner)
                address = settings::endpoint{entry.host, entry.port};
    }
    if (!address)
        return std::nullopt;
    error_code error;
    auto const host = asio::ip::make_address(address->host, error);
    if (error)
        return std::nullopt;
    return tcp::endpoint(host, address->port);
}

asio::awaitable<std::optional<http_response>>
owner_forwarder::exchange(beast::tcp_stream& stream,
                          inbound_request& inbound,
                          request::deadline until)
{
    auto const head = request_head(inbound, until);
    std::array<asio::const_buffer, 2> const buffers{
        asio::buffer(head), asio::buffer(inbound.message.body())};
    auto const [write_error, written] =
        co_await asio::async_write(stream, buffers, as_result);
    if (write_error)
        co_return std::nullopt;
    log_service::receive_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(state_.settings.upstreams.answer_limit_bytes);
    parser.skip(inbound.message.method() == http::verb::head);
    inbound.response_memory =
        memory_budget::reservation(state_.buffered_answers);
    auto const reserve = [&]
    {
        return inbound.response_memory.grow_to(buffered_size(buffer, parser));
    };
    auto const header_error =
        co_await log_service::read_header(stream, buffer, parser, reserve);
    // Instances always send Content-Length and no interim responses.
    bool const accepted = !header_error && parser.content_length() &&
                          core::is_final_status(parser.get().result_int()) &&
                          reserve();
    if (!accepted)
        co_return std::nullopt;
    auto const error = co_await log_service::read_body(
        stream,
        buffer,
        parser,
        state_.settings.upstreams.answer_limit_bytes,
        reserve);
    if (error)
        co_return std::nullopt;
    auto response = parser.release();
    response.erase(http::field::connection);
    co_return std::move(response);
}

std::string owner_forwarder::request_head(inbound_request const& inbound,
                                          request::deadline until)
{
    namespace names = request::header_names;
    std::string head(inbound.message.method_string());
    head.append(" ").append(inbound.message.target()).append(" HTTP/1.1\r\n");
    for (auto const& field :
         admission::fields_for_owner(inbound.header().fields))
        if (!request::same_name(field.name, "Content-Length") &&
            !request::same_name(field.name, names::deadline_ms))
            append_header(field.name, field.value, head);
    auto const left = until.remaining_ms(core::clock::now());
    append_header(names::deadline_ms, std::to_string(left.count()), head);
    append_header(forwarded_header, "1", head);
    append_header("Connection", "close", head);
    append_header(
        "Content-Length", std::to_string(inbound.message.body().size()), head);
    head += "\r\n";
    return head;
}

} // namespace kumquatloom::entry
