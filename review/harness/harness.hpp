#ifndef KUMQUATLOOM_REVIEW_HARNESS_HARNESS_HPP
#define KUMQUATLOOM_REVIEW_HARNESS_HARNESS_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins for the platform, its backends and its clients, and a launcher for
/// the real program. Everything uses loopback addresses and the real clock.
namespace kumquatloom::review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Whether the case applies its disruption; false if TROUBLE=0.
bool has_trouble();

/// Waits; the cases are sequences of timed steps.
void pause(milliseconds time);

/// Writes timed lines to record.txt in the folder of the case. Thread-safe.
class recorder
{
public:
    explicit recorder(std::string const& path);
    ~recorder();

    /// Writes one line with the time since the start of the case.
    void line(std::string const& text);

    /// Milliseconds since the start of the case.
    long elapsed_ms() const;

private:
    clock::time_point const start_ = clock::now();
    mutable std::mutex mutex_;
    int file_ = -1;
};

/// A TCP address.
struct address
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const;
};

/// A free port of a loopback host.
std::uint16_t free_port(std::string const& host);

/// A loopback host of this run; the second and third octets are random, so that
/// parallel runs do not meet.
std::string loopback_host(unsigned number);

/// A request or response.
struct message
{
    /// Request line or status line.
    std::string start;
    /// Fields by lower-case name.
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(std::string const& name) const;
    /// Status of a response; 0 if there is none.
    int status() const;
    /// Method and target of a request.
    std::string method() const;
    std::string target() const;
};

/// A blocking connection.
class connection
{
public:
    /// Takes over an accepted socket.
    explicit connection(int socket);
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// Connects; null on failure.
    static std::unique_ptr<connection> open(address const& peer);

    /// Sends all bytes; false if the connection has ended.
    bool send(std::string_view bytes);
    /// Receives a message; nothing if the connection ends before its end or the
    /// time is over.
    std::optional<message> receive(milliseconds limit);
    /// Whether the peer has closed or reset the connection.
    bool is_closed() const;
    /// Closes the connection.
    void close();
    /// Ends blocked calls of another thread.
    void shut_down();

private:
    std::atomic<int> socket_;
    std::string buffer_;
};

/// Accepts connections and serves each in a thread of its own.
class server
{
public:
    using handler = std::function<void(connection&)>;

    server(address const& listen, handler serve);
    ~server();

private:
    void accept_connections();

    handler serve_;
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<std::shared_ptr<connection>> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// The platform's metadata store: keyed topics with one partition.
class store
{
public:
    explicit store(address const& listen);

    /// Writes a record and returns its offset; without a value, the key is
    /// dropped.
    std::uint64_t put(std::string const& topic,
                      std::string const& key,
                      std::string const& value);

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    void serve(connection& peer);
    std::string dispatch(message const& request);

    std::mutex mutex_;
    std::map<std::string, std::vector<record>> topics_;
    std::unique_ptr<server> server_;
};

/// What a backend saw of a request.
struct run_record
{
    std::string id;
    /// Whether the work ended, and its response was written.
    bool finished = false;
    /// Times in milliseconds since the start of the case.
    long began_ms = 0;
    long ended_ms = 0;
};

/// A backend. Its work for a request lasts as many milliseconds as the last
/// path segment says ("/order/w250").
class backend
{
public:
    struct settings
    {
        std::string id;
        std::string service;
        std::string zone;
        address listen;
        unsigned slots = 6;
        /// Changes an answer before it is sent, as a faulty backend does.
        std::function<std::string(std::string const& id, std::string answer)>
            spoil{};
    };

    backend(settings given, store& platform, recorder& log);
    ~backend();

    /// Writes the entry as the platform's pages describe it.
    void report(std::string const& state);
    /// Removes the entry, and says in all later answers that it leaves.
    void leave_without_notice();
    /// Makes the work take `factor` times as long, also that in progress.
    void slow_down(double factor);
    /// All runs so far.
    std::vector<run_record> runs() const;
    /// Requests that arrived, with the time in milliseconds.
    std::vector<std::pair<std::string, long>> arrivals() const;

private:
    void serve(connection& peer);
    bool work(connection& peer, message const& request);
    void beat();

    settings const settings_;
    store& platform_;
    recorder& log_;
    std::uint64_t const born_;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<double> slowness_{1};
    std::atomic<unsigned> sequence_{0};
    mutable std::mutex mutex_;
    std::condition_variable freed_;
    unsigned busy_ = 0;
    std::string state_ = "ready";
    std::vector<run_record> runs_;
    std::vector<std::pair<std::string, long>> arrivals_;
    std::unique_ptr<server> server_;
    std::thread beats_;
};

/// One machine that runs the program as the deploy file says.
class machine
{
public:
    struct settings
    {
        std::string name;
        std::string host;
        std::string zone;
        std::string region;
        /// Further lines of the settings file.
        std::string more;
    };

    /// Ports that are the same on all machines.
    struct ports
    {
        std::uint16_t front = 0;
        std::uint16_t ready = 0;
        std::uint16_t control = 0;
        std::uint16_t directory = 0;
        std::uint16_t internal = 0;
    };

    machine(settings given,
            ports const& used,
            address const& platform,
            std::string const& folder,
            recorder& log);
    /// Kills the process.
    ~machine();

    void start();
    void send_signal(int number);
    /// Waits for the end of the process; false if it still runs.
    bool wait_for_exit(milliseconds limit);
    /// Whether the process runs.
    bool is_running();
    /// Waits until the readiness page answers 200.
    bool wait_until_ready(milliseconds limit) const;
    /// Resident memory in megabytes.
    double resident_mb() const;
    address front() const;

private:
    settings const settings_;
    ports const ports_;
    std::string const file_;
    std::string const output_;
    recorder& log_;
    std::mutex mutex_;
    pid_t process_ = -1;
};

/// The configuration with one service and two routes: "/look/" (safe) and
/// "/order/" (unsafe).
std::string configuration(unsigned version,
                          double route_timeout_s,
                          unsigned long max_body_bytes);

/// Head of a client's request.
std::string request_head(std::string const& method,
                         std::string const& target,
                         std::string const& id,
                         unsigned deadline_ms,
                         std::optional<std::size_t> body_bytes);

/// A private folder below the folder for temporary files; deleted at the end.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();

    std::string const& path() const
    {
        return path_;
    }

private:
    std::string path_;
};

} // namespace kumquatloom::review

#endif
