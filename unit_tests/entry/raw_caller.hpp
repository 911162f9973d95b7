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

using received_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// A request with a credential and a body.
std::string request_text(std::string_view method,
                         std::string_view target,
                         std::string_view body = {},
                         std::string_view more_headers = {});

/// The value of a metric on a metrics page; `name` includes its labels. Empty
/// if the page doesn't have it.
std::optional<std::uint64_t> metric_value(std::string const& page,
                                          std::string const& name);

/// A blocking client connection that sends arbitrary bytes.
class raw_caller
{
public:
    /// Connects to a port of a loopback address.
    explicit raw_caller(std::uint16_t port,
                        std::string const& host = "127.0.0.1");

    void send(std::string_view bytes);

    /// Sends `before`, and `unit` again and again until the peer has closed the
    /// connection. Returns the number of bytes sent.
    std::size_t send_until_closed(std::string_view before,
                                  std::string_view unit);

    /// Reads one complete response; empty if the connection ends before.
    /// `without_body` is for responses to HEAD.
    std::optional<received_response> receive(bool without_body = false);

    /// Blocks until the first bytes of a response have arrived.
    void wait_for_response();

    /// Sends a request and reads its response.
    std::optional<received_response> exchange(std::string_view request);

    /// Whether the peer closes the connection without sending more bytes.
    /// Blocks until it does either.
    bool ended();

    /// Closes the sending side only.
    void close_sending();

    void close();

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    /// Bytes that were read but not parsed yet.
    boost::beast::flat_buffer buffer_;
};

} // namespace kumquatloom::unit_tests

#endif
