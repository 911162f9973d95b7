#ifndef KUMQUATLOOM_ENTRY_HTTP_TYPES_HPP
#define KUMQUATLOOM_ENTRY_HTTP_TYPES_HPP

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace kumquatloom::entry
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

/// A request with its complete body in memory.
using http_request = http::request<http::string_body>;
/// A response with its complete body in memory.
using http_response = http::response<http::string_body>;

/// Completion token that returns the error code as part of the result.
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

} // namespace kumquatloom::entry

#endif
