#include <kumquatloom/admission/header_filter.hpp>
#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/owner_forwarder.hpp>
#include <kumquatloom/request/header_names.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

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

asio::awaitable<std::optional<http_response>> owner_forwarder::forward(
    call& caller, core::instance_id const& owner, request::deadline until)
{
    auto const peer = address_of(owner);
    if (!peer)
        co_return std::nullopt;
    beast::tcp_stream stream(context_);
    interruption on_cancel(
        [&stream]
        {
            stream.close();
        });
    caller.caller_left.wait_for(on_cancel);
    auto const connect_limit =
        core::clock::now() + state_.settings.upstreams.connect_timeout;
    stream.expires_at(std::min(until.at(), connect_limit));
    auto const [error] = co_await stream.async_connect(*peer, as_result);
    if (error)
        co_return std::nullopt;
    state_.events.increment(entry_event::ticket_forwarded);
    stream.expires_at(until.at());
    co_return co_await exchange(stream, caller, until);
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
    else if (auto const list = state_.instances.read())
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

asio::awaitable<std::optional<http_response>> owner_forwarder::exchange(
    beast::tcp_stream& stream, call& caller, request::deadline until)
{
    auto const head = request_head(caller, until);
    std::array<asio::const_buffer, 2> const buffers{
        asio::buffer(head), asio::buffer(caller.request.body())};
    auto const [write_error, written] =
        co_await asio::async_write(stream, buffers, as_result);
    if (write_error)
        co_return std::nullopt;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(state_.settings.upstreams.answer_limit_bytes);
    parser.skip(caller.request.method() == http::verb::head);
    auto const [header_error, header_size] =
        co_await http::async_read_header(stream, buffer, parser, as_result);
    caller.memory = memory_account::reservation(state_.buffered_answers);
    // Instances always state the length of an answer.
    bool const accepted = !header_error && parser.content_length() &&
                          caller.memory.grow_to(*parser.content_length());
    if (!accepted)
        co_return std::nullopt;
    auto const [error, size] =
        co_await http::async_read(stream, buffer, parser, as_result);
    if (error)
        co_return std::nullopt;
    auto answer = parser.release();
    answer.erase(http::field::connection);
    co_return std::move(answer);
}

std::string owner_forwarder::request_head(call const& caller,
                                          request::deadline until)
{
    namespace names = request::header_names;
    std::string head(caller.request.method_string());
    head.append(" ").append(caller.request.target()).append(" HTTP/1.1\r\n");
    for (auto const& field : admission::fields_for_owner(caller.facts().fields))
        if (!request::same_name(field.name, "Content-Length") &&
            !request::same_name(field.name, names::deadline_ms))
            append_header(field.name, field.value, head);
    auto const left = until.remaining_ms(core::clock::now());
    append_header(names::deadline_ms, std::to_string(left.count()), head);
    append_header(forwarded_header, "1", head);
    append_header("Connection", "close", head);
    append_header(
        "Content-Length", std::to_string(caller.request.body().size()), head);
    head += "\r\n";
    return head;
}

} // namespace kumquatloom::entry
