#include <kumquatloom/control/control_status.hpp>
#include <kumquatloom/document/log_record.hpp>
#include <kumquatloom/entry/buffered_size.hpp>
#include <kumquatloom/entry/drain_controller.hpp>
#include <kumquatloom/entry/fleet_link.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/entry/memory_budget.hpp>
#include <kumquatloom/entry/metrics_page.hpp>
#include <kumquatloom/entry/operator_server.hpp>
#include <kumquatloom/entry/status_page.hpp>
#include <kumquatloom/log_service/read_message.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/system/errc.hpp>

#include <chrono>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Time limit for one operator request. An edit waits until it is appended to
/// the log.
constexpr std::chrono::seconds operator_timeout{15};
/// Largest request body; the largest valid one is a document.
constexpr std::size_t operator_body_limit = 16 * 1024 * 1024;
/// Delay after a failed accept, usually caused by file descriptor exhaustion.
constexpr std::chrono::milliseconds accept_pause{10};

http_response text_response(http::status status, std::string body)
{
    auto response = json_response(status, std::move(body));
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    return response;
}

} // namespace

operator_server::operator_server(asio::io_context& context,
                                 instance_state& state,
                                 drain_controller& drain,
                                 tcp::endpoint const& address)
    : context_(context)
    , state_(state)
    , drain_(drain)
    , slots_(state.settings.operators.connections,
             [this]
             {
                 state_.events.increment(entry_event::port_displaced);
             })
    , acceptor_(context, address)
{
}

asio::awaitable<void> operator_server::run()
{
    while (acceptor_.is_open())
    {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);
        if (!error)
        {
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
        else if (acceptor_.is_open())
        {
            asio::steady_timer pause(context_, accept_pause);
            co_await pause.async_wait(as_result);
        }
    }
}

void operator_server::close()
{
    error_code ignored;
    acceptor_.close(ignored);
}

asio::awaitable<void> operator_server::serve(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    connection_slots::slot slot(slots_, stream);
    log_service::receive_buffer buffer;
    http::request_parser<http::string_body> parser;
    parser.body_limit(operator_body_limit);
    stream.expires_after(operator_timeout);
    memory_budget::reservation memory(state_.buffered_requests);
    auto const reserve = [&]
    {
        return memory.grow_to(buffered_size(buffer, parser));
    };
    auto error =
        co_await log_service::read_header(stream, buffer, parser, reserve);
    // A stated length is reserved before the body is read.
    if (!error && !reserve())
        error = make_error_code(boost::system::errc::not_enough_memory);
    if (!error)
        error = co_await log_service::read_body(
            stream, buffer, parser, operator_body_limit, reserve);
    bool const has_memory = error != boost::system::errc::not_enough_memory;
    if (error && has_memory)
        co_return;
    slot.begin_request();
    auto response = json_response(http::status::service_unavailable, "{}\n");
    if (has_memory)
        response = co_await handle(parser.get());
    // Open connections would delay the exit of the process.
    response.keep_alive(false);
    co_await http::async_write(stream, response, as_result);
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<http_response>
operator_server::handle(http_request const& request)
{
    auto const target = request.target();
    std::string_view const path(target.data(), target.size());
    if (request.method() == http::verb::post && path == "/drain")
    {
        drain_.begin("operator");
        co_return json_response(http::status::accepted,
                                "{\"state\":\"leaving\"}\n");
    }
    if (request.method() == http::verb::post && path == "/document/edits" &&
        fleet_ != nullptr)
        co_return co_await append_edit(request.body());
    if (request.method() == http::verb::get)
        co_return page(path);
    co_return json_response(http::status::not_found, "{}\n");
}

asio::awaitable<http_response>
operator_server::append_edit(std::string const& text)
{
    core::fault_list faults;
    auto const record = document::parse_record(text, faults);
    auto const* const edit =
        record ? std::get_if<document::edit_record>(&*record) : nullptr;
    if (edit == nullptr)
        co_return json_response(http::status::bad_request, "{}\n");
    auto const report = co_await fleet_->plane().append_edit(*edit);
    co_return json_response(http::status::ok, document::to_text(report) + '\n');
}

http_response operator_server::page(std::string_view path) const
{
    if (path == "/metrics")
    {
        metrics_page metrics;
        metrics.add(state_);
        if (fleet_ != nullptr)
            metrics.add(fleet_->plane());
        return text_response(http::status::ok, metrics.text());
    }
    if (path == "/status")
        return json_response(
            http::status::ok,
            status_page(state_, fleet_ ? &fleet_->plane() : nullptr));
    if (path == "/healthz")
        return text_response(http::status::ok, "ok\n");
    if (path == "/document" && fleet_ != nullptr)
        return document_page();
    if (path != "/readyz")
        return json_response(http::status::not_found, "{}\n");
    return ready() ? text_response(http::status::ok, "ready\n")
                   : text_response(http::status::service_unavailable,
                                   "not ready\n");
}

http_response operator_server::document_page() const
{
    auto const text = fleet_->plane().document_text({});
    if (text.empty())
        return json_response(http::status::not_found, "{}\n");
    auto const version = fleet_->plane().status().known_version;
    return json_response(http::status::ok,
                         "{\"version\":" + std::to_string(version) +
                             ",\"document\":" + text + "}\n");
}

bool operator_server::ready() const
{
    return !state_.leaving && state_.ready && state_.document.read() &&
           state_.instance_list.read();
}

} // namespace kumquatloom::entry
