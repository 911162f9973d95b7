#ifndef KUMQUATLOOM_STAND_INS_HTTP_TYPES_HPP
#define KUMQUATLOOM_STAND_INS_HTTP_TYPES_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace kumquatloom::stand_ins
{

/// A complete request.
using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
/// A complete response.
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// A stand-in's reply to a request: a response, or a connection fault.
struct http_reply
{
    /// The response, unless `drop` is set.
    http_response response;
    /// If set, the connection is closed after this many bytes of the body.
    std::optional<std::size_t> cut_after_bytes;
    /// Whether the connection is closed without a response.
    bool drop = false;
};

/// Creates a reply with a JSON body.
http_reply json_reply(unsigned status, std::string body);

/// Creates a reply that closes the connection without a response.
http_reply dropped_reply();

} // namespace kumquatloom::stand_ins

#endif
