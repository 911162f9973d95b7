#ifndef KUMQUATLOOM_UNIT_TESTS_ENTRY_RAW_CALLER_HPP
#define KUMQUATLOOM_UNIT_TESTS_ENTRY_RAW_CALLER_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::unit_tests
{

/// A response as a caller received it.
using received_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// The text of a request with a credential and a body.
std::string request_text(std::string_view method,
                         std::string_view target,
                         std::string_view body = {},
                         std::string_view more_headers = {});

/// A blocking connection of a caller that sends any bytes.
class raw_caller
{
public:
    /// Connects to a port of loopback.
    explicit raw_caller(std::uint16_t port);

    /// Sends the bytes.
    void send(std::string_view bytes);

    /// Reads one whole response; nothing if the connection ends before one is
    /// complete. An answer to HEAD is one without a body.
    std::optional<received_response> receive(bool without_body = false);

    /// Sends a request and reads its response.
    std::optional<received_response> ask(std::string_view request);

    /// Whether the other side ends the connection without more bytes.
    bool ended();

    /// Closes the connection.
    void close();

private:
    /// Owns the socket.
    boost::asio::io_context context_;
    /// The connection.
    boost::asio::ip::tcp::socket socket_;
    /// Bytes that were read ahead.
    boost::beast::flat_buffer buffer_;
};

} // namespace kumquatloom::unit_tests

#endif
