#include <kumquatloom/core/digest.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <unit_tests/fault_matrix/scripted_upstream.hpp>
#include <utility>

namespace kumquatloom::fault_matrix
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Longer than the deadline of any request of the matrix.
constexpr std::chrono::seconds stall_time{30};
/// Shorter than the deadline of any request of the matrix.
constexpr std::chrono::milliseconds short_delay{40};
/// Connections that fill a listen backlog of zero. The kernel queues one more
/// than the backlog.
constexpr int filler_connections = 2;

asio::awaitable<void> pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(as_result);
}

/// Closes the connection with a TCP reset.
void reset(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

std::string header_of(std::string const& request, std::string const& name)
{
    auto const start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    auto const value = start + name.size() + 4;
    return request.substr(value, request.find("\r\n", value) - value);
}

std::size_t content_length(std::string const& request)
{
    auto const text = header_of(request, "Content-Length");
    return text.empty() ? 0 : std::stoul(text);
}

/// A well-formed response with a request id.
std::string make_response(std::string const& id,
                          std::string const& body,
                          std::string const& status,
                          std::string const& more_headers)
{
    auto const digest = core::sha256(body);
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nKumquatloom-Request-Id: " + id +
           "\r\nContent-Digest: sha-256=:" +
           core::to_base64(core::as_bytes(digest)) + ":\r\n" + more_headers +
           "\r\n" + body;
}

} // namespace

scripted_upstream::scripted_upstream(asio::io_context& context,
                                     upstream_action action,
                                     execution_counts& executions)
    : action_(action)
    , executions_(executions)
    , acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    port_ = acceptor_.local_endpoint().port();
    if (action == upstream_action::refuse_connections)
        acceptor_.close();
    else if (action == upstream_action::ignore_connections)
        fill_backlog(context);
    else
        asio::co_spawn(context, accept_connections(), asio::detached);
}

void scripted_upstream::fill_backlog(asio::io_context& context)
{
    // While the backlog is full, the kernel drops further connection requests.
    acceptor_.listen(0);
    for (int i = 0; i < filler_connections; ++i)
    {
        fillers_.emplace_back(context);
        fillers_.back().async_connect(acceptor_.local_endpoint(),
                                      asio::detached);
    }
}

asio::awaitable<void> scripted_upstream::accept_connections()
{
    while (acceptor_.is_open())
    {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);
        if (!error)
            asio::co_spawn(acceptor_.get_executor(),
                           serve(std::move(socket)),
                           asio::detached);
    }
}

asio::awaitable<void> scripted_upstream::serve(tcp::socket socket)
{
    if (action_ == upstream_action::reset_on_accept)
    {
        reset(socket);
        co_return;
    }
    if (action_ == upstream_action::read_nothing)
    {
        co_await pause(stall_time);
        co_return;
    }
    std::string buffer;
    while (co_await serve_request(socket, buffer))
    {
    }
}

asio::awaitable<bool> scripted_upstream::serve_request(tcp::socket& socket,
                                                       std::string& buffer)
{
    auto const [head_error, head_size] = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(buffer), "\r\n\r\n", as_result);
    if (head_error)
        co_return false;
    if (action_ == upstream_action::reset_in_request)
    {
        reset(socket);
        co_return false;
    }
    std::size_t const size = head_size + content_length(buffer);
    while (buffer.size() < size)
    {
        std::string more(size - buffer.size(), '\0');
        auto const [error, count] =
            co_await socket.async_read_some(asio::buffer(more), as_result);
        if (error)
            co_return false;
        buffer.append(more, 0, count);
    }
    std::string const request = buffer.substr(0, size);
    buffer.erase(0, size);
    ++received_requests_;
    if (request.starts_with("GET /healthz"))
    {
        std::string const response = make_response("", "{}", "200 OK", "");
        co_await asio::async_write(socket, asio::buffer(response), as_result);
        co_return true;
    }
    // Count an execution, unless the upstream refuses the request.
    if (action_ != upstream_action::refuse_explicitly)
        ++executions_[header_of(request, "X-Operation")];
    co_return co_await respond(socket, request);
}

asio::awaitable<bool> scripted_upstream::respond(tcp::socket& socket,
                                                 std::string const& request)
{
    std::string text = response_to(request);
    std::size_t const head = text.find("\r\n\r\n") + 4;
    switch (action_)
    {
    case upstream_action::run_then_close:
        co_return false;
    case upstream_action::run_then_reset:
        reset(socket);
        co_return false;
    case upstream_action::run_then_stall:
        co_await pause(stall_time);
        co_return false;
    case upstream_action::respond_late:
        // Just after the deadline: the response must not be taken for that of
        // a later request if the connection is reused by mistake.
        co_await pause(std::chrono::milliseconds(700));
        break;
    case upstream_action::respond_after_delay:
        co_await pause(short_delay);
        break;
    case upstream_action::flap:
        if (received_requests_ % 2 == 1)
            co_await pause(stall_time);
        break;
    case upstream_action::close_in_head:
        text.resize(head / 2);
        co_await asio::async_write(socket, asio::buffer(text), as_result);
        co_return false;
    case upstream_action::close_in_body:
        text.resize(head + (text.size() - head) / 2);
        co_await asio::async_write(socket, asio::buffer(text), as_result);
        co_return false;
    case upstream_action::stall_in_head:
    case upstream_action::delay_in_head:
        co_return co_await respond_in_parts(socket, std::move(text), head / 2);
    case upstream_action::stall_in_body:
    case upstream_action::delay_in_body:
        co_return co_await respond_in_parts(
            socket, text, head + (text.size() - head) / 2);
    default:
        break;
    }
    auto const [error, count] =
        co_await asio::async_write(socket, asio::buffer(text), as_result);
    co_return !error;
}

asio::awaitable<bool> scripted_upstream::respond_in_parts(tcp::socket& socket,
                                                          std::string text,
                                                          std::size_t first)
{
    bool const stalls = action_ == upstream_action::stall_in_head ||
                        action_ == upstream_action::stall_in_body;
    co_await asio::async_write(
        socket, asio::buffer(text.data(), first), as_result);
    co_await pause(stalls ? std::chrono::milliseconds(stall_time)
                          : short_delay);
    auto const [error, count] = co_await asio::async_write(
        socket,
        asio::buffer(text.data() + first, text.size() - first),
        as_result);
    co_return !error;
}

std::string scripted_upstream::response_to(std::string const& request)
{
    auto const id = header_of(request, "Kumquatloom-Request-Id");
    std::string body = "{\"operation\":\"" + header_of(request, "X-Operation") +
                       "\",\"organisation\":\"" +
                       header_of(request, "Kumquatloom-Organisation") +
                       "\",\"end\":true}";
    switch (action_)
    {
    case upstream_action::respond_with_wrong_id:
        return make_response("another-" + id, body, "200 OK", "");
    case upstream_action::respond_with_previous_first:
    {
        auto const own = make_response(id, body, "200 OK", "");
        auto const previous = std::exchange(previous_response_, own);
        return previous + own;
    }
    case upstream_action::wrong_body:
    {
        auto text = make_response(id, body, "200 OK", "");
        text[text.size() - 3] ^= 1;
        return text;
    }
    case upstream_action::extra_bytes:
        return make_response(id, body, "200 OK", "") + "HTTP/1.1 200 OK\r\n";
    case upstream_action::refuse_explicitly:
        return make_response(id,
                             "{}",
                             "503 Service Unavailable",
                             "Kumquatloom-Outcome: not-run\r\n");
    case upstream_action::fail_with_error:
        return make_response(id, "{}", "500 Internal Server Error", "");
    case upstream_action::announce_leaving:
        return make_response(
            id, body, "200 OK", "Kumquatloom-State: leaving\r\n");
    default:
        return make_response(id, body, "200 OK", "");
    }
}

} // namespace kumquatloom::fault_matrix
