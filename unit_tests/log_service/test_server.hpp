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

/// Request that a test server has received.
struct test_request
{
    bool is_post = false;
    std::string target;
    std::string body;

    /// Returns the value of a numeric query parameter; 0 if it is absent.
    std::uint64_t number(std::string const& parameter) const;
};

/// Reply of a test server.
struct test_reply
{
    unsigned status = 200;
    std::string body;
    /// Closes the connection without a reply.
    bool drop = false;
    /// Sent instead of a response if not empty.
    std::string raw;
};

/// HTTP server on the loopback interface. Its handler runs on the server's own
/// thread.
class test_server
{
public:
    using handler = std::function<test_reply(test_request const&)>;

    explicit test_server(handler on_request);
    ~test_server();
    test_server(test_server const&) = delete;
    test_server& operator=(test_server const&) = delete;

    settings::endpoint address() const;

private:
    handler on_request_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace kumquatloom::log_service::testing

#endif
