#ifndef KUMQUATLOOM_HOSTING_NEIGHBOUR_SOCKET_HPP
#define KUMQUATLOOM_HOSTING_NEIGHBOUR_SOCKET_HPP

#include <kumquatloom/hosting/departure_notice.hpp>
#include <kumquatloom/hosting/domain_report.hpp>
#include <kumquatloom/hosting/level_message.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/quota_message.hpp>
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

/// UDP socket for neighbours' messages and domain reports.
class neighbour_socket
{
public:
    /// Called with the sender's IP address and the decoded datagram.
    struct handlers
    {
        std::function<void(std::string const& host, neighbour_message const&)>
            message;
        std::function<void(std::string const& host, domain_report const&)>
            report;
        std::function<void(std::string const& host, departure_notice const&)>
            departures;
        std::function<void(std::string const& host, quota_message const&)>
            quotas;
        std::function<void(std::string const& host, level_message const&)>
            levels;
    };

    /// Binds to the address. Throws on failure.
    neighbour_socket(boost::asio::io_context& context,
                     settings::endpoint const& address,
                     handlers on_datagram);

    /// Starts receiving, until stop() is called.
    void start();

    /// Stops receiving and closes the socket.
    void stop();

    /// Sends a datagram to an address. Datagrams may be lost; a failure to send
    /// one is counted, not reported.
    void send(settings::endpoint const& target, std::string_view bytes);

    std::uint16_t port() const;

    /// Number of datagrams that could not be sent, and of received ones that
    /// could not be decoded.
    std::uint64_t send_failures() const
    {
        return send_failures_;
    }
    std::uint64_t malformed() const
    {
        return malformed_;
    }

private:
    /// Size of the receive buffer, above that of the largest message. A longer
    /// datagram is truncated and counted as malformed.
    static constexpr std::size_t buffer_size = 4096;

    void receive();
    bool dispatch(std::string_view bytes);
    template <typename Message>
    bool dispatch(std::string_view bytes,
                  std::function<void(std::string const& host,
                                     Message const&)> const& handler);

    boost::asio::ip::udp::socket socket_;
    handlers handlers_;
    /// Sender of the datagram in the buffer.
    boost::asio::ip::udp::endpoint source_;
    std::array<char, buffer_size> buffer_{};
    std::uint64_t send_failures_ = 0;
    std::uint64_t malformed_ = 0;
};

} // namespace kumquatloom::hosting

#endif
