#include <kumquatloom/log_service/http_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <unit_tests/entry/endless_response.hpp>
#include <unit_tests/entry/raw_upstream.hpp>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::unit_tests;
using namespace std::chrono_literals;

constexpr std::size_t body_limit_bytes = 1024 * 1024;
/// Bytes that the kernel accepts on one connection before they are read.
constexpr std::uint64_t kernel_buffers_bytes = 12 * 1024 * 1024;

boost::asio::awaitable<void>
fetch(log_service::http_client const& client,
      std::optional<log_service::http_error>& failure)
{
    std::string const target = "/log-read";
    auto const response = co_await client.fetch(target);
    if (!response)
        failure = response.error();
}

/// Returns why a request to the server failed; nothing if it did not.
std::optional<log_service::http_error> failure_of_fetch(std::uint16_t port)
{
    boost::asio::io_context context;
    log_service::http_client const client({"127.0.0.1", port},
                                          {5000ms, body_limit_bytes});
    std::optional<log_service::http_error> failure;
    boost::asio::co_spawn(
        context, fetch(client, failure), boost::asio::detached);
    context.run();
    return failure;
}

} // namespace

// Guards against memory exhaustion by the store or another instance.
TEST_CASE("an endless answer of a server is cut off", "[log_service]")
{
    auto const responses = endless_responses("");
    auto const index = GENERATE_COPY(range(std::size_t{0}, responses.size()));
    auto const& endless = responses[index];
    raw_upstream server(
        [&](received_request const&)
        {
            return to_reply(endless);
        });

    DYNAMIC_SECTION(endless.part)
    {
        auto const failure = failure_of_fetch(server.port());
        if (endless.part == "interim responses")
            CHECK_FALSE(failure);
        else
        {
            REQUIRE(failure);
            CHECK(*failure != log_service::http_error::timed_out);
        }
        CHECK(server.endless_bytes() <
              8 * body_limit_bytes + kernel_buffers_bytes);
    }
}
