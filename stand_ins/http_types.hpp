#ifndef KUMQUATLOOM_STAND_INS_HTTP_TYPES_HPP
#define KUMQUATLOOM_STAND_INS_HTTP_TYPES_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace kumquatloom::stand_ins
{

/// A whole request.
using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
/// A whole response.
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// What a stand-in does in answer to a request.
struct http_reply
{
    /// The response.
    http_response response;
    /// If set, only this many bytes of the body are sent before the
    /// connection is closed.
    std::optional<std::size_t> cut_after_bytes;
    /// Whether the connection is closed without any response.
    bool drop = false;
};

/// A reply with a JSON body.
http_reply json_reply(unsigned status, std::string body);

/// A reply that closes the connection without a response.
http_reply dropped_reply();

} // namespace kumquatloom::stand_ins

#endif
