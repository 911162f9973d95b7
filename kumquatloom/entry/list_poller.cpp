#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/list_poller.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Time for one reading of the list.
constexpr std::chrono::seconds poll_timeout{2};
/// Largest list: 70,000 instances of about 200 bytes.
constexpr std::size_t list_limit_bytes = 32 * 1024 * 1024;

} // namespace

list_poller::list_poller(asio::io_context& context,
                         instance_state& state,
                         std::function<void()> published)
    : published_(std::move(published))
    , state_(state)
    , stream_(context)
    , timer_(context)
{
}

asio::awaitable<void> list_poller::run()
{
    while (!stopped_)
    {
        bool const success = co_await poll();
        if (stopped_)
            break;
        report(success);
        timer_.expires_after(state_.settings.platform.poll);
        co_await timer_.async_wait(as_result);
    }
}

void list_poller::stop()
{
    stopped_ = true;
    timer_.cancel();
    stream_.close();
}

asio::awaitable<bool> list_poller::poll()
{
    auto const text = co_await fetch();
    if (!text)
        co_return false;
    core::fault_list faults;
    auto list = parse_instance_list(*text, faults);
    if (!faults.empty())
        co_return false;
    state_.instances.publish(std::move(list));
    published_();
    co_return true;
}

asio::awaitable<std::optional<std::string>> list_poller::fetch()
{
    auto const& address = state_.settings.platform.instances;
    tcp::endpoint const peer(asio::ip::make_address(address.host),
                             address.port);
    stream_.expires_after(poll_timeout);
    // A connection for each poll: one that is kept can fail unnoticed.
    auto const [connect_error] =
        co_await stream_.async_connect(peer, as_result);
    if (connect_error)
        co_return std::nullopt;
    http::request<http::empty_body> request(http::verb::get, "/instances", 11);
    request.set(http::field::host, settings::to_string(address));
    request.keep_alive(false);
    auto const [write_error, written] =
        co_await http::async_write(stream_, request, as_result);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(list_limit_bytes);
    auto error = write_error;
    if (!error)
    {
        auto const [read_error, size] =
            co_await http::async_read(stream_, buffer, parser, as_result);
        error = read_error;
    }
    stream_.close();
    if (error || parser.get().result() != http::status::ok)
        co_return std::nullopt;
    co_return std::move(parser.get().body());
}

void list_poller::report(bool reachable)
{
    state_.events.increment(reachable ? entry_event::list_read
                                      : entry_event::list_failed);
    if (reachable_ == reachable)
        return;
    reachable_ = reachable;
    if (reachable)
        core::log_info("instance_list_read");
    else
        core::log_warning("instance_list_unavailable");
}

} // namespace kumquatloom::entry
