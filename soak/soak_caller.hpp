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

/// A caller of the system: asks the directory where to connect, keeps the
/// answer for a while, and sends requests over connections that it keeps open.
class soak_caller
{
public:
    /// Everything must outlive the caller.
    soak_caller(boost::asio::io_context& context,
                std::size_t number,
                std::uint64_t seed,
                soak_platform& platform,
                std::vector<std::unique_ptr<soak_instance>>& instances,
                request_ledger& ledger,
                soak_checks& checks);

    /// Sends requests until stop() was called.
    boost::asio::awaitable<void> run();

    /// Ends after the current request.
    void stop()
    {
        stopped_ = true;
    }

    /// Requests that were answered with success since the last call, and all
    /// that were sent.
    struct counts
    {
        std::size_t sent = 0;
        std::size_t served = 0;
    };
    counts take_counts();

private:
    boost::asio::awaitable<void> ask_directory();
    boost::asio::awaitable<bool> connect(boost::beast::tcp_stream& stream,
                                         std::size_t instance);
    boost::asio::awaitable<void> use(std::size_t instance);
    boost::asio::awaitable<bool> ask(boost::beast::tcp_stream& stream,
                                     boost::beast::flat_buffer& buffer,
                                     std::size_t instance);
    boost::asio::awaitable<bool>
    read_answer(boost::beast::tcp_stream& stream,
                boost::beast::flat_buffer& buffer,
                soak_checks::caller_view const& view,
                std::chrono::milliseconds deadline);
    stand_ins::http_request next_request(std::size_t instance,
                                         std::chrono::milliseconds deadline,
                                         std::string& id);
    void cut_off(soak_checks::caller_view const& view);
    void check_silence(boost::beast::tcp_stream& stream,
                       boost::beast::flat_buffer const& buffer);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    /// Runs everything.
    boost::asio::io_context& context_;
    /// Names its requests.
    std::size_t number_;
    unsigned requests_ = 0;
    /// Draws what it does.
    random_source random_;
    /// Where it finds routes and instances.
    soak_platform& platform_;
    std::vector<std::unique_ptr<soak_instance>>& instances_;
    /// Where it reports.
    request_ledger& ledger_;
    soak_checks& checks_;
    /// Instances that the directory has named, and until when that counts.
    std::vector<std::size_t> known_;
    core::time_point known_until_;
    /// Whether it ends.
    bool stopped_ = false;
    /// See take_counts().
    counts counts_;
};

} // namespace kumquatloom::soak

#endif
