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

/// How often each operation was run, over all upstreams of a test.
using execution_counts = std::map<std::string, unsigned>;

/// An upstream that misbehaves at one exact point of the exchange. It works on
/// plain sockets, so that it can do what no HTTP library would.
class scripted_upstream
{
public:
    /// Listens on a port that the system chooses. All references must outlive
    /// the upstream; everything runs on one thread.
    scripted_upstream(boost::asio::io_context& context,
                      upstream_action action,
                      execution_counts& executions);

    /// The port that was bound.
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
    boost::asio::awaitable<bool> answer(socket_type& socket,
                                        std::string const& request);
    boost::asio::awaitable<bool>
    answer_in_parts(socket_type& socket, std::string text, std::size_t first);
    std::string response_to(std::string const& request);
    void fill_backlog(boost::asio::io_context& context);

    /// What goes wrong.
    upstream_action action_;
    /// Executions by operation.
    execution_counts& executions_;
    /// Accepts connections.
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Connections that keep the backlog full.
    std::vector<socket_type> fillers_;
    /// The bound port.
    std::uint16_t port_ = 0;
    /// Requests that were received.
    unsigned received_ = 0;
    /// Answer to the request before.
    std::string previous_answer_;
};

} // namespace kumquatloom::fault_matrix

#endif
