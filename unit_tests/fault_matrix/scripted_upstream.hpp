#ifndef KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_SCRIPTED_UPSTREAM_HPP
#define KUMQUATLOOM_UNIT_TESTS_FAULT_MATRIX_SCRIPTED_UPSTREAM_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unit_tests/fault_matrix/upstream_action.hpp>
#include <vector>

namespace kumquatloom::fault_matrix
{

/// Number of executions of each operation at all upstreams of a test.
using execution_counts = std::map<std::string, unsigned>;

/// An upstream that fails at one exact point of an HTTP exchange. It uses plain
/// sockets to violate the protocol in ways that no HTTP library allows.
class scripted_upstream
{
public:
    /// Listens on an ephemeral port. All arguments must outlive the upstream
    /// and must be used by one thread only.
    scripted_upstream(boost::asio::io_context& context,
                      upstream_action action,
                      execution_counts& executions);

    std::uint16_t port() const
    {
        return port_;
    }

private:
    using socket_type = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(socket_type socket);
    boost::asio::awaitable<bool> serve_request(socket_type& socket,
                                               std::string& buffer);
    boost::asio::awaitable<bool> respond(socket_type& socket,
                                         std::string const& request);
    boost::asio::awaitable<bool>
    respond_in_parts(socket_type& socket, std::string text, std::size_t first);
    std::string response_to(std::string const& request);
    void fill_backlog(boost::asio::io_context& context);

    upstream_action action_;
    execution_counts& executions_;
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Connections that keep the backlog full.
    std::vector<socket_type> fillers_;
    std::uint16_t port_ = 0;
    /// Number of requests received.
    unsigned received_requests_ = 0;
    /// Response to the previous request.
    std::string previous_response_;
};

} // namespace kumquatloom::fault_matrix

#endif
