#ifndef KUMQUATLOOM_UNIT_TESTS_LOG_SERVICE_TEST_SERVER_HPP
#define KUMQUATLOOM_UNIT_TESTS_LOG_SERVICE_TEST_SERVER_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <thread>

namespace kumquatloom::log_service::testing
{

/// What a test server received.
struct test_request
{
    bool is_post = false;
    std::string target;
    std::string body;

    /// The number of a query parameter; 0 if it is absent.
    std::uint64_t number(std::string const& parameter) const;
};

/// What it does about it.
struct test_reply
{
    unsigned status = 200;
    std::string body;
    /// Closes the connection without a reply.
    bool drop = false;
    /// Sends these bytes in place of a response, if there are any.
    std::string raw;
};

/// An HTTP server on loopback with a thread of its own, which also runs the
/// handler.
class test_server
{
public:
    using handler = std::function<test_reply(test_request const&)>;

    explicit test_server(handler answer);
    ~test_server();
    test_server(test_server const&) = delete;
    test_server& operator=(test_server const&) = delete;

    settings::endpoint address() const;

private:
    handler answer_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace kumquatloom::log_service::testing

#endif
