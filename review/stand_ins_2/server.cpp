#include <poll.h>
#include <review/stand_ins_2/server.hpp>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace kumquatloom::review
{

server::server(std::string const& host, std::uint16_t port, handler serve)
    : listener_(listen_on(host, port))
    , serve_(std::move(serve))
    , thread_(
          [this]
          {
              accept_all();
          })
{
}

server::~server()
{
    stop();
    ::close(listener_);
}

void server::stop()
{
    if (stopped_.exchange(true))
        return;
    thread_.join();
    reap(true);
}

void server::accept_all()
{
    while (!stopped_)
    {
        pollfd state{listener_, POLLIN, 0};
        if (::poll(&state, 1, 20) != 1)
            continue;
        int const descriptor = ::accept4(
            listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        reap(false);
        std::lock_guard const lock(mutex_);
        auto& item = sessions_.emplace_back(connection(descriptor));
        item.thread = std::thread(
            [this, &item]
            {
                serve_(item.peer);
                item.peer.shut_down();
                item.done = true;
            });
    }
}

void server::reap(bool all)
{
    std::lock_guard const lock(mutex_);
    for (auto item = sessions_.begin(); item != sessions_.end();)
    {
        if (all)
            item->peer.shut_down();
        if (!all && !item->done)
        {
            ++item;
            continue;
        }
        item->thread.join();
        item = sessions_.erase(item);
    }
}

} // namespace kumquatloom::review
