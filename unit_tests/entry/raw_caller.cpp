#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <unit_tests/entry/raw_caller.hpp>

namespace kumquatloom::unit_tests
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

} // namespace

std::string request_text(std::string_view method,
                         std::string_view target,
                         std::string_view body,
                         std::string_view more_headers)
{
    std::string text(method);
    text.append(" ").append(target).append(" HTTP/1.1\r\nHost: test\r\n");
    text.append("Authorization: Bearer secret\r\n").append(more_headers);
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text.append("\r\n").append(body);
}

std::optional<std::uint64_t> metric_value(std::string const& page,
                                          std::string const& name)
{
    auto const at = page.find('\n' + name + ' ');
    if (at == std::string::npos)
        return std::nullopt;
    return std::stoull(page.substr(at + name.size() + 2));
}

raw_caller::raw_caller(std::uint16_t port, std::string const& host)
    : socket_(context_)
{
    socket_.connect({asio::ip::make_address(host), port});
}

void raw_caller::send(std::string_view bytes)
{
    // The instance may have refused the request and closed the connection
    // already.
    boost::system::error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
}

std::size_t raw_caller::send_until_closed(std::string_view before,
                                          std::string_view unit)
{
    boost::system::error_code error;
    auto sent = asio::write(socket_, asio::buffer(before), error);
    while (!error)
        sent += asio::write(socket_, asio::buffer(unit), error);
    return sent;
}

std::optional<received_response> raw_caller::receive(bool without_body)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(without_body);
    boost::system::error_code error;
    http::read(socket_, buffer_, parser, error);
    if (error)
        return std::nullopt;
    return parser.release();
}

std::optional<received_response> raw_caller::exchange(std::string_view request)
{
    send(request);
    return receive();
}

void raw_caller::wait_for_response()
{
    socket_.wait(boost::asio::ip::tcp::socket::wait_read);
}

bool raw_caller::ended()
{
    char byte = 0;
    boost::system::error_code error;
    return buffer_.size() == 0 &&
           socket_.read_some(asio::buffer(&byte, 1), error) == 0;
}

void raw_caller::close_sending()
{
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
}

void raw_caller::close()
{
    socket_.close();
}

} // namespace kumquatloom::unit_tests
