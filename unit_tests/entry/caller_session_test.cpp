#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/caller_session.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/proxy_handler.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::entry;

/// A session whose steps the test runs one by one.
struct stepped_session
{
    stepped_session()
    {
        core::configure_logging("error");
        tcp::acceptor acceptor(
            context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        caller.connect(acceptor.local_endpoint());
        state.caller_connections = 1;
        session = new caller_session(acceptor.accept(), state, handler);
    }

    void send(std::string const& text)
    {
        asio::write(caller, asio::buffer(text));
    }

    /// Runs everything to the end and returns what the caller has received.
    std::string rest()
    {
        error_code error;
        caller.shutdown(tcp::socket::shutdown_send, error);
        context.run();
        std::string received;
        asio::read(caller, asio::dynamic_buffer(received), error);
        return received;
    }

    asio::io_context context{1};
    instance_state state{{}, 1};
    proxy_handler handler{context, state, 1};
    tcp::socket caller{context};
    boost::intrusive_ptr<caller_session> session;
};

constexpr char const* some_request = "GET /a HTTP/1.1\r\nHost: shop\r\n\r\n";

} // namespace

// Guards against a request that was read, and perhaps passed on, but whose
// connection a leaving instance takes for an idle one and closes.
TEST_CASE("a leaving instance answers what it has read", "[entry]")
{
    stepped_session test;
    asio::co_spawn(
        test.context, caller_session::run(test.session), asio::detached);

    SECTION("also if the read has just ended")
    {
        test.send(some_request);
        // One step starts the session: the bytes are read at once, but the
        // session has not been told.
        test.context.run_one();
        test.session->finish();
        CHECK(test.rest().starts_with("HTTP/1.1 503"));
    }

    SECTION("also if the bytes have just arrived")
    {
        test.context.run_one();
        test.send(some_request);
        test.session->finish();
        CHECK(test.rest().starts_with("HTTP/1.1 503"));
    }

    SECTION("also if the session has not begun")
    {
        test.send(some_request);
        test.session->finish();
        CHECK(test.rest().starts_with("HTTP/1.1 503"));
    }

    SECTION("and closes a connection on which nothing has come")
    {
        test.context.run_one();
        test.session->finish();
        CHECK(test.rest().empty());
    }
}
