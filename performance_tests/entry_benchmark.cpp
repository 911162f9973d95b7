#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/entry/entry_instance.hpp>

#include <benchmark/benchmark.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace kumquatloom;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::nanoseconds;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Number of callers' connections; the rate is split evenly.
constexpr unsigned connections = 32;
/// Duration of each of the two loads, directly to the upstream and through the
/// instance.
constexpr std::chrono::seconds load_time{5};
constexpr std::size_t body_bytes = 512;

/// CPU time of a thread or of the process.
nanoseconds cpu_time(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

/// A thread that runs a context and measures its own CPU time.
class context_thread
{
public:
    explicit context_thread(asio::io_context& context)
        : thread_(
              [this, &context]
              {
                  context.run();
                  cpu_used_ = cpu_time(CLOCK_THREAD_CPUTIME_ID);
              })
    {
    }

    /// Joins the thread and returns its CPU time.
    nanoseconds join()
    {
        thread_.join();
        return cpu_used_;
    }

private:
    /// CPU time of the thread when it ended.
    nanoseconds cpu_used_{};
    /// Runs the context.
    std::thread thread_;
};

/// An upstream that responds without delay. It also serves the instance list,
/// in which it is the only upstream.
class instant_upstream
{
public:
    instant_upstream()
        : acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(context_, accept(), asio::detached);
    }

    std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

    asio::io_context& context()
    {
        return context_;
    }

private:
    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        while (true)
        {
            http::request_parser<http::string_body> parser;
            auto const [error, size] =
                co_await http::async_read(socket, buffer, parser, as_result);
            if (error)
                co_return;
            auto const& request = parser.get();
            auto const text = response_to(request);
            co_await asio::async_write(socket, asio::buffer(text), as_result);
        }
    }

    std::string
    response_to(http::request<http::string_body> const& request) const
    {
        std::string body(body_bytes, 'x');
        if (request.target() == "/instances")
            body = R"({"instances":[{"id":"u","kind":"upstream","service":"s",)"
                   R"("host":"127.0.0.1","port":)" +
                   std::to_string(port()) +
                   R"(,"failure_domain":"d","region":"r","state":"live"}]})";
        return "HTTP/1.1 200 OK\r\nKumquatloom-Request-Id: " +
               std::string(request["Kumquatloom-Request-Id"]) +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    /// Runs the server.
    asio::io_context context_;
    /// The listening socket.
    tcp::acceptor acceptor_;
};

/// Result of a load. Latencies count from the scheduled time of each request,
/// so that a late send is included.
struct load_result
{
    /// Latencies of all requests; sorted after the load.
    std::vector<nanoseconds> latencies;
    /// Responses with a status other than 200.
    unsigned failures = 0;
    /// CPU time of the thread that generates the load.
    nanoseconds cpu{};

    double percentile_us(double percent) const
    {
        auto const last = static_cast<double>(latencies.size() - 1);
        auto const index = static_cast<std::size_t>(last * percent / 100);
        return static_cast<double>(latencies[index].count()) / 1000;
    }
};

/// Sends requests at a constant rate on one connection.
asio::awaitable<void> send_requests(tcp::endpoint server,
                                    std::chrono::steady_clock::time_point first,
                                    nanoseconds interval,
                                    load_result& result)
{
    auto const executor = co_await asio::this_coro::executor;
    tcp::socket socket(executor);
    co_await socket.async_connect(server, asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    asio::steady_timer timer(executor);
    boost::beast::flat_buffer buffer;
    std::string const request = "GET /item HTTP/1.1\r\nHost: bench\r\n"
                                "Authorization: Bearer secret\r\n\r\n";
    for (auto due = first; due < first + load_time; due += interval)
    {
        timer.expires_at(due);
        co_await timer.async_wait(asio::use_awaitable);
        co_await asio::async_write(
            socket, asio::buffer(request), asio::use_awaitable);
        http::response_parser<http::string_body> parser;
        co_await http::async_read(socket, buffer, parser, asio::use_awaitable);
        result.latencies.push_back(std::chrono::steady_clock::now() - due);
        result.failures += parser.get().result_int() == 200 ? 0 : 1;
    }
}

load_result run_load(std::uint16_t port, unsigned rate_per_s)
{
    load_result result;
    asio::io_context context;
    tcp::endpoint const server(asio::ip::address_v4::loopback(), port);
    auto const interval = nanoseconds(std::chrono::seconds(1)) * connections /
                          static_cast<std::int64_t>(rate_per_s);
    auto const start =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
    for (unsigned index = 0; index < connections; ++index)
        asio::co_spawn(context,
                       send_requests(server,
                                     start + interval * index / connections,
                                     interval,
                                     result),
                       asio::detached);
    context_thread thread(context);
    result.cpu = thread.join();
    std::sort(result.latencies.begin(), result.latencies.end());
    return result;
}

settings::instance_settings instance_settings(std::uint16_t list_port)
{
    settings::instance_settings settings;
    settings.instance = {core::instance_id("entry"),
                         core::failure_domain("d"),
                         core::region("r")};
    settings.listen.callers = {"127.0.0.1", 0};
    settings.listen.operators = {"127.0.0.1", 0};
    settings.listen.peers = {"127.0.0.1", 0};
    settings.platform.log = {"127.0.0.1", 0};
    settings.platform.instances = {"127.0.0.1", list_port};
    settings.fleet.name = "bench";
    settings.fleet.keys = {{1, "0123456789abcdef"}};
    settings.log_level = "error";
    return settings;
}

boost::intrusive_ptr<document::document> single_route_document()
{
    boost::intrusive_ptr<document::document> result(new document::document);
    core::service_name const service("s");
    core::organisation_name const organisation("o");
    result->services[service].slots = 64;
    result->organisations[organisation].credentials = {core::sha256("secret")};
    document::route_settings route;
    route.prefix = "/";
    route.service = service;
    route.organisations = {organisation};
    result->routes.push_back(route);
    return result;
}

/// Waits until the instance forwards requests.
void wait_until_serving(std::uint16_t port)
{
    bool serving = false;
    while (!serving)
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), port});
        asio::write(
            socket,
            asio::buffer(std::string("GET / HTTP/1.1\r\nHost: bench\r\n"
                                     "Authorization: Bearer secret\r\n\r\n")));
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        serving = response.result_int() == 200;
    }
}

/// Measures the latency that an entry instance adds: runs the same load
/// directly against an upstream and then through an instance.
void added_latency(benchmark::State& state)
{
    core::configure_logging("error");
    auto const rate = static_cast<unsigned>(state.range(0));
    for (auto _ : state)
    {
        instant_upstream upstream;
        context_thread upstream_thread(upstream.context());
        auto const direct = run_load(upstream.port(), rate);
        entry::entry_instance instance(instance_settings(upstream.port()));
        instance.publish(single_route_document());
        wait_until_serving(instance.callers_port());
        auto const before = cpu_time(CLOCK_PROCESS_CPUTIME_ID);
        auto const proxied = run_load(instance.callers_port(), rate);
        auto const cpu_used =
            cpu_time(CLOCK_PROCESS_CPUTIME_ID) - before - proxied.cpu;
        upstream.context().stop();
        upstream_thread.join();
        for (double const percent : {50.0, 99.0, 99.9})
        {
            auto const name = std::to_string(percent).substr(0, 4);
            state.counters["direct_p" + name + "_us"] =
                direct.percentile_us(percent);
            state.counters["added_p" + name + "_us"] =
                proxied.percentile_us(percent) - direct.percentile_us(percent);
        }
        state.counters["failures"] = direct.failures + proxied.failures;
        // The CPU time includes the upstream's, so the figure is a lower bound.
        state.counters["per_core_with_upstream"] =
            static_cast<double>(proxied.latencies.size()) /
            std::chrono::duration<double>(cpu_used).count();
    }
}

BENCHMARK(added_latency)
    ->Arg(2000)
    ->Iterations(1)
    ->Unit(benchmark::kSecond)
    ->UseRealTime();

} // namespace
