#ifndef KUMQUATLOOM_HOSTING_NEIGHBOUR_SOCKET_HPP
#define KUMQUATLOOM_HOSTING_NEIGHBOUR_SOCKET_HPP

#include <kumquatloom/hosting/domain_report.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace kumquatloom::hosting
{

/// Sends and receives the neighbours' messages as datagrams.
class neighbour_socket
{
public:
    /// Called with the sender's IP number and its message.
    struct handlers
    {
        std::function<void(std::string const& host, neighbour_message const&)>
            message;
        std::function<void(std::string const& host, domain_report const&)>
            report;
    };

    /// Binds to the address. Throws if that is not possible.
    neighbour_socket(boost::asio::io_context& context,
                     settings::endpoint const& address,
                     handlers received);

    /// Receives until stop().
    void start();

    /// Ends receiving.
    void stop();

    /// Sends bytes to an address. Datagrams may be lost; a failure to send one
    /// is counted.
    void send(settings::endpoint const& target, std::string_view bytes);

    /// Port in use.
    std::uint16_t port() const;

    /// Datagrams that could not be sent, and those that could not be read.
    std::uint64_t send_failures() const
    {
        return send_failures_;
    }
    std::uint64_t malformed() const
    {
        return malformed_;
    }

private:
    /// One byte more than the largest datagram over UDP.
    static constexpr std::size_t buffer_size = 4096;

    void receive();
    bool dispatch(std::string_view bytes);

    /// The socket.
    boost::asio::ip::udp::socket socket_;
    /// Takes the messages.
    handlers received_;
    /// Sender of the last datagram.
    boost::asio::ip::udp::endpoint source_;
    /// The last datagram.
    std::array<char, buffer_size> buffer_{};
    /// See the accessors.
    std::uint64_t send_failures_ = 0;
    std::uint64_t malformed_ = 0;
};

} // namespace kumquatloom::hosting

#endif
