#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <review/stand_ins_2/connection.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace kumquatloom::review
{

namespace
{

sockaddr_in address_of(std::string const& host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

int remaining_ms(steady::time_point until)
{
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - steady::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

} // namespace

std::string message_head::field(std::string const& name) const
{
    auto const found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

connection::connection(int descriptor)
    : descriptor_(descriptor)
{
    int const on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

connection::connection(connection&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , buffer_(std::move(other.buffer_))
    , part_bytes_(other.part_bytes_)
    , pause_(other.pause_)
{
}

connection& connection::operator=(connection&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(buffer_, other.buffer_);
    std::swap(part_bytes_, other.part_bytes_);
    std::swap(pause_, other.pause_);
    return *this;
}

std::optional<connection> connection::open(std::string const& host,
                                           std::uint16_t port,
                                           int receive_buffer,
                                           std::chrono::milliseconds limit)
{
    connection result(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (receive_buffer != 0)
        ::setsockopt(result.descriptor_,
                     SOL_SOCKET,
                     SO_RCVBUF,
                     &receive_buffer,
                     sizeof receive_buffer);
    auto const address = address_of(host, port);
    ::connect(result.descriptor_,
              reinterpret_cast<sockaddr const*>(&address),
              sizeof address);
    pollfd state{result.descriptor_, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&state, 1, static_cast<int>(limit.count())) != 1 ||
        ::getsockopt(result.descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) !=
            0 ||
        error != 0)
        return std::nullopt;
    return result;
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto const sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0)
        {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR)
            return false;
        pollfd state{descriptor_, POLLOUT, 0};
        if (::poll(&state, 1, 20000) != 1)
            return false;
    }
    return true;
}

bool connection::fill(steady::time_point until)
{
    auto const more =
        receive(part_bytes_, std::chrono::milliseconds(remaining_ms(until)));
    buffer_ += more;
    std::this_thread::sleep_for(pause_);
    return !more.empty();
}

std::string connection::receive(std::size_t size,
                                std::chrono::milliseconds limit)
{
    auto const until = steady::now() + limit;
    std::string bytes(size, '\0');
    while (true)
    {
        auto const received = ::recv(descriptor_, bytes.data(), size, 0);
        if (received >= 0)
        {
            bytes.resize(static_cast<std::size_t>(received));
            return bytes;
        }
        if (errno != EAGAIN && errno != EINTR)
            return {};
        pollfd state{descriptor_, POLLIN, 0};
        if (::poll(&state, 1, remaining_ms(until)) != 1)
            return {};
    }
}

std::optional<message_head>
connection::read_head(std::chrono::milliseconds limit)
{
    auto const until = steady::now() + limit;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
        if (!fill(until))
            return std::nullopt;
    auto text = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    message_head head;
    head.start_line = text.substr(0, text.find("\r\n"));
    for (auto at = text.find("\r\n") + 2; at < text.size();)
    {
        auto const line_end = text.find("\r\n", at);
        auto const colon = text.find(':', at);
        auto name = text.substr(at, colon - at);
        std::transform(name.begin(),
                       name.end(),
                       name.begin(),
                       [](unsigned char character)
                       {
                           return static_cast<char>(std::tolower(character));
                       });
        auto const value = text.find_first_not_of(' ', colon + 1);
        head.fields[name] = text.substr(value, line_end - value);
        at = line_end + 2;
    }
    return head;
}

std::optional<std::string>
connection::read_body(message_head const& head, std::chrono::milliseconds limit)
{
    auto const until = steady::now() + limit;
    auto const take = [&](std::size_t size) -> std::optional<std::string>
    {
        while (buffer_.size() < size)
            if (!fill(until))
                return std::nullopt;
        auto part = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return part;
    };
    if (auto const length = head.field("content-length"); !length.empty())
        return take(std::strtoul(length.c_str(), nullptr, 10));
    std::string body;
    if (head.field("transfer-encoding") != "chunked")
        return body;
    while (true)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos)
            if (!fill(until))
                return std::nullopt;
        auto const size = std::strtoul(buffer_.c_str(), nullptr, 16);
        buffer_.erase(0, end + 2);
        auto part = take(size + 2);
        if (!part)
            return std::nullopt;
        body.append(*part, 0, size);
        if (size == 0)
            return body;
    }
}

void connection::shut_down()
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

int listen_on(std::string const& host, std::uint16_t port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const address = address_of(host, port);
    if (::bind(descriptor,
               reinterpret_cast<sockaddr const*>(&address),
               sizeof address) != 0 ||
        ::listen(descriptor, SOMAXCONN) != 0)
    {
        ::close(descriptor);
        throw std::runtime_error("cannot listen on " + host);
    }
    return descriptor;
}

} // namespace kumquatloom::review
