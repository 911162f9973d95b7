#ifndef KUMQUATLOOM_CROWD_TESTS_CROWD_HPP
#define KUMQUATLOOM_CROWD_TESTS_CROWD_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <thread>

namespace kumquatloom::crowd_tests
{

/// Many callers on one thread. Each runs a script and then leaves its
/// connection open, without reading, until the crowd is destroyed.
class crowd
{
public:
    /// One caller's connection.
    class member
    {
    public:
        member(boost::asio::io_context& context, crowd& owner)
            : socket_(context)
            , owner_(owner)
        {
        }

        /// Writes all bytes; false if the peer closed the connection.
        boost::asio::awaitable<bool> send(std::string_view bytes);

        /// Writes the bytes in pieces of this size, each in a packet of its
        /// own where the peer reads fast enough.
        boost::asio::awaitable<bool> send_in_pieces(std::string_view bytes,
                                                    std::size_t piece);

        /// Reads and discards until the peer closes the connection.
        boost::asio::awaitable<void> discard_responses();

        /// Closes the connection and opens another one.
        boost::asio::awaitable<bool> reconnect();

    private:
        friend class crowd;

        boost::asio::ip::tcp::socket socket_;
        crowd& owner_;
        /// Address of the instance and size of the receive buffer; 0 for the
        /// default size.
        boost::asio::ip::tcp::endpoint peer_;
        int receive_buffer_ = 0;
    };

    using script = std::function<boost::asio::awaitable<void>(member&)>;

    /// A crowd for the instance at this loopback address.
    explicit crowd(std::string host);
    ~crowd();

    crowd(crowd const&) = delete;
    crowd& operator=(crowd const&) = delete;

    /// Adds callers that run the script on a connection to the port.
    void add(unsigned callers,
             std::uint16_t port,
             script const& actions,
             int receive_buffer = 0);

    /// Waits until each caller has run its script, or until none has made any
    /// progress for two seconds, as when the instance does not read.
    void wait_until_settled();

private:
    boost::asio::awaitable<void> run(member& caller, script actions);

    boost::asio::io_context context_;
    std::string const host_;
    std::list<member> members_;
    /// Callers added, and those whose script has ended.
    std::atomic<unsigned> added_{0};
    std::atomic<unsigned> ended_{0};
    /// Changes with every write or read.
    std::atomic<std::uint64_t> progress_{0};
    std::thread thread_;
};

} // namespace kumquatloom::crowd_tests

#endif
