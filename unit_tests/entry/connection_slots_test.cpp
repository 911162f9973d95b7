#include <kumquatloom/entry/buffered_size.hpp>
#include <kumquatloom/entry/connection_slots.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace kumquatloom;
using entry::connection_slots;

} // namespace

// Guards against connections to a port that is not for callers that take all
// descriptors, and against an idle one that keeps out a health check.
TEST_CASE("connections to a port are bounded", "[entry]")
{
    boost::asio::io_context context;
    auto const make_stream = [&]
    {
        entry::beast::tcp_stream stream(context);
        stream.socket().open(entry::tcp::v4());
        return stream;
    };
    unsigned closed = 0;
    connection_slots slots(2,
                           [&closed]
                           {
                               ++closed;
                           });
    auto first_stream = make_stream();
    auto second_stream = make_stream();
    auto third_stream = make_stream();
    connection_slots::slot first(slots, first_stream);
    connection_slots::slot second(slots, second_stream);
    CHECK(slots.open() == 2);
    CHECK(closed == 0);

    SECTION("one above the limit takes the place of the oldest")
    {
        connection_slots::slot third(slots, third_stream);
        CHECK(slots.open() == 2);
        CHECK_FALSE(first_stream.socket().is_open());
        CHECK(second_stream.socket().is_open());
        CHECK(third_stream.socket().is_open());
    }

    SECTION("a request in progress and a recent one protect a connection")
    {
        first.begin_request();
        SECTION("in progress") {}
        SECTION("recent")
        {
            first.end_request();
        }
        connection_slots::slot third(slots, third_stream);
        CHECK(first_stream.socket().is_open());
        CHECK_FALSE(second_stream.socket().is_open());
    }

    SECTION("the new one is closed if all others have a request in progress")
    {
        first.begin_request();
        second.begin_request();
        connection_slots::slot third(slots, third_stream);
        CHECK_FALSE(third_stream.socket().is_open());
        CHECK(slots.open() == 2);
        CHECK(closed == 1);
    }
}

// Guards against headers of many short fields, which take many times their text
// when they are parsed.
TEST_CASE("the overhead of header fields is accounted", "[entry]")
{
    auto const size_with = [](std::size_t fields)
    {
        std::string text = "GET / HTTP/1.1\r\n";
        for (std::size_t number = 0; number < fields; ++number)
            text += "a:\r\n";
        log_service::receive_buffer buffer;
        boost::beast::http::request_parser<boost::beast::http::string_body>
            parser;
        parser.header_limit(64 * 1024);
        boost::system::error_code error;
        parser.put(boost::asio::buffer(text + "\r\n"), error);
        REQUIRE_FALSE(error);
        return entry::buffered_size(buffer, parser);
    };
    CHECK(size_with(entry::usual_fields) == 0);
    CHECK(size_with(entry::usual_fields + 1) == entry::field_bytes);
    CHECK(size_with(4000) == (4000 - entry::usual_fields) * entry::field_bytes);
}
