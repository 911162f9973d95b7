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

/// A session whose asynchronous steps are executed one by one.
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

    /// Closes the caller's sending side, runs all work and returns what the
    /// caller received.
    std::string receive_all()
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

// Guards against a request that was read, and perhaps forwarded, but whose
// connection a draining instance takes for idle and closes.
TEST_CASE("a draining instance responds to requests that it has read",
          "[entry]")
{
    stepped_session stepped;
    asio::co_spawn(
        stepped.context, caller_session::run(stepped.session), asio::detached);

    SECTION("if the read has completed but its handler has not run")
    {
        stepped.send(some_request);
        // One step starts the session. The bytes are read at once, but the
        // handler of the read has not run yet.
        stepped.context.run_one();
        stepped.session->finish();
        CHECK(stepped.receive_all().starts_with("HTTP/1.1 503"));
    }

    SECTION("if the bytes have arrived but were not read")
    {
        stepped.context.run_one();
        stepped.send(some_request);
        stepped.session->finish();
        CHECK(stepped.receive_all().starts_with("HTTP/1.1 503"));
    }

    SECTION("if the session has not started reading")
    {
        stepped.send(some_request);
        stepped.session->finish();
        CHECK(stepped.receive_all().starts_with("HTTP/1.1 503"));
    }

    SECTION("but closes a connection that has received nothing")
    {
        stepped.context.run_one();
        stepped.session->finish();
        CHECK(stepped.receive_all().empty());
    }
}
