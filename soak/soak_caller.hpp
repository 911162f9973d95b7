#ifndef KUMQUATLOOM_SOAK_SOAK_CALLER_HPP
#define KUMQUATLOOM_SOAK_SOAK_CALLER_HPP

#include <kumquatloom/core/clock.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <soak/random_source.hpp>
#include <soak/request_ledger.hpp>
#include <soak/soak_checks.hpp>
#include <stand_ins/http_types.hpp>
#include <string>
#include <vector>

namespace kumquatloom::soak
{

class soak_instance;
class soak_platform;

/// A simulated caller. It resolves the addresses of instances through the
/// directory, caches them, and sends requests over keep-alive connections.
class soak_caller
{
public:
    /// All references must outlive the caller.
    soak_caller(boost::asio::io_context& context,
                std::size_t number,
                std::uint64_t seed,
                soak_platform& platform,
                std::vector<std::unique_ptr<soak_instance>>& instances,
                request_ledger& ledger,
                soak_checks& checks);

    /// Sends requests until stop() is called.
    boost::asio::awaitable<void> run();

    /// Makes run() end after the current request.
    void stop()
    {
        stopped_ = true;
    }

    /// Requests that were sent, and those with a successful response, since the
    /// last call of take_counts().
    struct counts
    {
        std::size_t sent = 0;
        std::size_t served = 0;
    };
    counts take_counts();

private:
    boost::asio::awaitable<void> query_directory();
    boost::asio::awaitable<bool> connect(boost::beast::tcp_stream& stream,
                                         std::size_t instance);
    boost::asio::awaitable<void> run_connection(std::size_t instance);
    boost::asio::awaitable<bool> send_request(boost::beast::tcp_stream& stream,
                                              boost::beast::flat_buffer& buffer,
                                              std::size_t instance);
    boost::asio::awaitable<bool>
    read_response(boost::beast::tcp_stream& stream,
                  boost::beast::flat_buffer& buffer,
                  soak_checks::caller_view const& view,
                  std::chrono::milliseconds deadline);
    stand_ins::http_request next_request(std::size_t instance,
                                         std::chrono::milliseconds deadline,
                                         std::string& id);
    void handle_disconnect(soak_checks::caller_view const& view);
    void check_no_extra_bytes(boost::beast::tcp_stream& stream,
                              boost::beast::flat_buffer const& buffer);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    /// Runs the coroutines.
    boost::asio::io_context& context_;
    /// Number of the caller and of its last request; together the request id.
    std::size_t number_;
    unsigned requests_ = 0;
    /// Random numbers of this caller.
    random_source random_;
    /// The routes and instances.
    soak_platform& platform_;
    std::vector<std::unique_ptr<soak_instance>>& instances_;
    /// The ledger and checks that it reports to.
    request_ledger& ledger_;
    soak_checks& checks_;
    /// Instances that the directory returned, and the cache's expiry.
    std::vector<std::size_t> resolved_;
    core::time_point resolved_until_;
    /// Whether stop() was called.
    bool stopped_ = false;
    /// See take_counts().
    counts counts_;
};

} // namespace kumquatloom::soak

#endif
