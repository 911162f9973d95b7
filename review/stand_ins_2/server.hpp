#ifndef KUMQUATLOOM_REVIEW_STAND_INS_2_SERVER_HPP
#define KUMQUATLOOM_REVIEW_STAND_INS_2_SERVER_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <review/stand_ins_2/connection.hpp>
#include <string>
#include <thread>
#include <utility>

namespace kumquatloom::review
{

/// Accepts connections and serves each in a thread of its own.
class server
{
public:
    using handler = std::function<void(connection&)>;

    server(std::string const& host, std::uint16_t port, handler serve);
    ~server();

    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// Ends all connections and the listener.
    void stop();

private:
    struct session
    {
        explicit session(connection accepted)
            : peer(std::move(accepted))
        {
        }

        connection peer;
        std::thread thread;
        std::atomic<bool> done{false};
    };

    void accept_all();
    void reap(bool all);

    int const listener_;
    handler const serve_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::list<session> sessions_;
    std::thread thread_;
};

} // namespace kumquatloom::review

#endif
