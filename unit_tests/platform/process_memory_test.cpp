#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <unit_tests/entry/endless_response.hpp>
#include <unit_tests/platform/platform_fixture.hpp>
#include <unit_tests/platform/program_process.hpp>
#include <vector>

namespace
{

using namespace kumquatloom::unit_tests;

/// Memory limit of the smallest instances.
constexpr unsigned memory_mb = 160;
constexpr std::size_t megabyte = 1000 * 1000;
constexpr unsigned endless_upstreams = 24;
constexpr unsigned endless_callers = 200;
constexpr unsigned sending_callers = 40;
constexpr unsigned connections_of_caller = 10;
constexpr unsigned sound_requests = 100;

std::string identifying_fields(received_request const& request)
{
    return "Request-Id: " + std::string(request["Request-Id"]) +
           "\r\nResponse-Signature: 3e1b.07\r\n";
}

bool is_ready(program_process const& program)
{
    try
    {
        raw_caller caller(program_process::readiness_port, program.host());
        auto const response = caller.exchange(
            "GET /readiness HTTP/1.1\r\nHost: platform\r\n\r\n");
        return response && response->result_int() == 200;
    }
    catch (boost::system::system_error const&)
    {
        return false;
    }
}

/// Sends requests to the sound service, one after the other, and returns how
/// many were served.
unsigned sound_requests_served(program_process const& program)
{
    unsigned served = 0;
    for (unsigned number = 0; number < sound_requests; ++number)
    {
        raw_caller caller(program_process::callers_port, program.host());
        auto const response =
            caller.exchange(platform_request("POST", "/other/1", "kit"));
        served += response && response->result_int() == 200 ? 1 : 0;
    }
    return served;
}

/// The instrumentation of sanitizers takes a multiple of the program's memory.
constexpr bool has_sanitizer =
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    true;
#else
    false;
#endif

} // namespace

// Guards against messages without end on many connections that together exceed
// the memory of the process, or leave none for the requests of others.
TEST_CASE("messages without end don't exhaust the process", "[platform]")
{
    auto const part_count = endless_responses("").size();
    platform_fixture fixture;
    fixture.put_configuration(
        1,
        R"(["order","shop.example","/order/","unsafe",20,5,1,null,2,"shop"],)"
        R"(["other","shop.example","/other/","unsafe",20,5,1,null,2,"other"])");
    std::vector<raw_upstream*> upstreams;
    for (unsigned number = 0; number < endless_upstreams; ++number)
        upstreams.push_back(&fixture.add_upstream(
            [&](received_request const& request)
            {
                auto const part =
                    std::stoul(std::string(request.target().substr(
                        std::string_view("/order/").size())));
                return to_reply(
                    endless_responses(identifying_fields(request))[part]);
            }));
    fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{
                platform_response(request, std::string(16384, 'x'))};
        },
        "other");
    program_process const program(fixture.settings.store, memory_mb);
    platform_fixture::wait_until(
        [&]
        {
            return is_ready(program);
        });
    std::atomic<bool> ending{false};
    std::vector<std::thread> callers;

    SECTION("from upstreams")
    {
        std::atomic<unsigned> successes{0};
        std::atomic<unsigned> failures{0};
        for (unsigned number = 0; number < endless_callers; ++number)
            callers.emplace_back(
                [&, number]
                {
                    for (std::size_t part = number; !ending; ++part)
                    {
                        raw_caller caller(program_process::callers_port,
                                          program.host());
                        auto const response = caller.exchange(platform_request(
                            "POST",
                            "/order/" + std::to_string(part % part_count),
                            "kit",
                            3000));
                        ++(response && response->result_int() == 200
                               ? successes
                               : failures);
                    }
                });
        platform_fixture::wait_until(
            [&]
            {
                return failures > endless_callers;
            });
        CHECK(sound_requests_served(program) == sound_requests);
        platform_fixture::wait_until(
            [&]
            {
                return failures > endless_callers * 5;
            });
        CHECK(successes == 0);
    }

    SECTION("from callers")
    {
        std::string const head =
            "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
            "Request-Id: 9c41d07be2a35f68\r\nDeadline-Ms: 20000\r\n";
        std::string const incomplete_body(960 * 1024, 'x');
        std::vector<std::string> const beginnings{
            head + "Content-Length: 1048576\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\n5;",
            head + "X: "};
        std::atomic<unsigned> sent{0};
        for (unsigned number = 0; number < sending_callers; ++number)
            callers.emplace_back(
                [&, number]
                {
                    std::vector<std::unique_ptr<raw_caller>> connections;
                    for (unsigned i = 0; i < connections_of_caller; ++i)
                    {
                        connections.push_back(std::make_unique<raw_caller>(
                            program_process::callers_port, program.host()));
                        auto const part = (number + i) % beginnings.size();
                        connections.back()->send(beginnings[part] +
                                                 incomplete_body);
                        ++sent;
                    }
                    while (!ending)
                        std::this_thread::sleep_for(
                            std::chrono::milliseconds(10));
                });
        platform_fixture::wait_until(
            [&]
            {
                return sent == sending_callers * connections_of_caller;
            });
        CHECK(sound_requests_served(program) == sound_requests);
    }

    ending = true;
    for (auto& caller : callers)
        caller.join();
    CAPTURE(program.peak_resident_bytes());
    CHECK(program.is_running());
    if (!has_sanitizer)
        CHECK(program.peak_resident_bytes() < memory_mb * megabyte);
    CHECK(sound_requests_served(program) == sound_requests);
}
