#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <chrono>
#include <crowd_tests/crowd.hpp>
#include <utility>

namespace kumquatloom::crowd_tests
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Time without progress after which a crowd counts as settled.
constexpr std::chrono::seconds settle_time{2};

} // namespace

asio::awaitable<bool> crowd::member::send(std::string_view bytes)
{
    co_return co_await send_in_pieces(bytes, bytes.size());
}

asio::awaitable<bool> crowd::member::send_in_pieces(std::string_view bytes,
                                                    std::size_t piece)
{
    while (!bytes.empty())
    {
        auto const part = bytes.substr(0, piece);
        auto const [error, size] = co_await socket_.async_write_some(
            asio::buffer(part.data(), part.size()), as_result);
        if (error)
            co_return false;
        bytes.remove_prefix(size);
        ++owner_.progress_;
    }
    co_return true;
}

asio::awaitable<void> crowd::member::discard_responses()
{
    std::array<char, 16384> bytes;
    boost::system::error_code failure;
    while (!failure)
    {
        auto const [error, size] =
            co_await socket_.async_read_some(asio::buffer(bytes), as_result);
        failure = error;
        ++owner_.progress_;
    }
}

asio::awaitable<bool> crowd::member::reconnect()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
    socket_.open(tcp::v4(), ignored);
    if (receive_buffer_ != 0)
        socket_.set_option(tcp::socket::receive_buffer_size(receive_buffer_),
                           ignored);
    auto const [error] = co_await socket_.async_connect(peer_, as_result);
    socket_.set_option(tcp::no_delay(true), ignored);
    co_return !error;
}

crowd::crowd(std::string host)
    : host_(std::move(host))
{
    thread_ = std::thread(
        [this]
        {
            auto const guard = asio::make_work_guard(context_);
            context_.run();
        });
}

crowd::~crowd()
{
    context_.stop();
    thread_.join();
}

void crowd::add(unsigned callers,
                std::uint16_t port,
                script const& actions,
                int receive_buffer)
{
    added_ += callers;
    asio::post(context_,
               [=, this]
               {
                   for (unsigned number = 0; number < callers; ++number)
                   {
                       auto& added = members_.emplace_back(context_, *this);
                       added.peer_ = {asio::ip::make_address(host_), port};
                       added.receive_buffer_ = receive_buffer;
                       asio::co_spawn(
                           context_, run(added, actions), asio::detached);
                   }
               });
}

void crowd::wait_until_settled()
{
    std::uint64_t before = 0;
    do
    {
        before = progress_;
        auto const until = std::chrono::steady_clock::now() + settle_time;
        while (ended_ < added_ && std::chrono::steady_clock::now() < until)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    } while (ended_ < added_ && progress_ != before);
}

asio::awaitable<void> crowd::run(member& caller, script actions)
{
    bool const connected = co_await caller.reconnect();
    if (connected)
        co_await actions(caller);
    ++ended_;
}

} // namespace kumquatloom::crowd_tests
