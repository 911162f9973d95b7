#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <review/harness/harness.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace kumquatloom::review
{

namespace
{

sockaddr_in to_socket_address(address const& from)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(from.port);
    if (inet_pton(AF_INET, from.host.c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("not an address: " + from.host);
    return result;
}

int listen_on(address const& at, int backlog)
{
    int const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    auto const target = to_socket_address(at);
    if (::bind(listener,
               reinterpret_cast<sockaddr const*>(&target),
               sizeof(target)) != 0 ||
        ::listen(listener, backlog) != 0)
    {
        ::close(listener);
        throw std::runtime_error("can't listen on " + at.text());
    }
    return listener;
}

std::string lower(std::string text)
{
    std::transform(text.begin(),
                   text.end(),
                   text.begin(),
                   [](unsigned char character)
                   {
                       return static_cast<char>(std::tolower(character));
                   });
    return text;
}

std::string trimmed(std::string const& text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

message parse_head(std::string const& head)
{
    message result;
    std::size_t at = head.find("\r\n");
    result.start = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size())
    {
        auto const from = at + 2;
        at = head.find("\r\n", from);
        auto const line = head.substr(
            from, at == std::string::npos ? std::string::npos : at - from);
        auto const colon = line.find(':');
        if (colon != std::string::npos)
            result.fields[lower(line.substr(0, colon))] =
                trimmed(line.substr(colon + 1));
    }
    return result;
}

} // namespace

std::string address::text() const
{
    return host + ":" + std::to_string(port);
}

std::string loopback_host(unsigned number)
{
    static unsigned const base = std::random_device()();
    return "127." + std::to_string(1 + base % 250) + "." +
           std::to_string(base / 251 % 250) + "." + std::to_string(number);
}

std::uint16_t free_port(std::string const& host)
{
    int const listener = listen_on({host, 0}, 1);
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
    ::close(listener);
    return ntohs(bound.sin_port);
}

std::string message::field(std::string const& name) const
{
    auto const found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

int message::status() const
{
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}

std::string message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string message::target() const
{
    auto const from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
}

connection::connection(int socket)
    : socket_(socket)
{
    int const yes = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

connection::~connection()
{
    close();
}

std::unique_ptr<connection> connection::open(address const& peer)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const target = to_socket_address(peer);
    if (::connect(socket,
                  reinterpret_cast<sockaddr const*>(&target),
                  sizeof(target)) != 0)
    {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<connection>(socket);
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto const sent =
            ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::optional<message> connection::receive(milliseconds limit)
{
    auto const until = clock::now() + limit;
    std::optional<message> result;
    std::size_t body_from = 0;
    std::size_t body_size = 0;
    while (true)
    {
        if (!result)
        {
            auto const end = buffer_.find("\r\n\r\n");
            if (end != std::string::npos)
            {
                result = parse_head(buffer_.substr(0, end));
                body_from = end + 4;
                body_size = static_cast<std::size_t>(
                    std::atoll(result->field("content-length").c_str()));
            }
        }
        if (result && buffer_.size() >= body_from + body_size)
        {
            result->body = buffer_.substr(body_from, body_size);
            buffer_.erase(0, body_from + body_size);
            return result;
        }
        auto const left =
            std::chrono::duration_cast<milliseconds>(until - clock::now());
        pollfd readable{socket_, POLLIN, 0};
        if (left.count() <= 0 ||
            ::poll(&readable, 1, static_cast<int>(left.count())) <= 0)
            return std::nullopt;
        char bytes[65536];
        auto const size = ::recv(socket_, bytes, sizeof(bytes), 0);
        if (size <= 0)
            return std::nullopt;
        buffer_.append(bytes, static_cast<std::size_t>(size));
    }
}

bool connection::is_closed() const
{
    char byte = 0;
    auto const size = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::close()
{
    int const socket = socket_.exchange(-1);
    if (socket >= 0)
        ::close(socket);
}

void connection::shut_down()
{
    ::shutdown(socket_, SHUT_RDWR);
}

server::server(address const& listen, handler serve)
    : serve_(std::move(serve))
    , listener_(listen_on(listen, 256))
    , acceptor_(
          [this]
          {
              accept_connections();
          })
{
}

server::~server()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        std::lock_guard const lock(mutex_);
        for (auto const& peer : connections_)
            peer->shut_down();
    }
    for (auto& thread : threads_)
        thread.join();
}

void server::accept_connections()
{
    while (!stopping_)
    {
        int const socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        auto const peer = std::make_shared<connection>(socket);
        std::lock_guard const lock(mutex_);
        connections_.push_back(peer);
        threads_.emplace_back(
            [this, peer]
            {
                serve_(*peer);
                // The peer sees the end at once, but the number of the socket
                // is not reused before the server ends.
                peer->shut_down();
            });
    }
}

} // namespace kumquatloom::review
