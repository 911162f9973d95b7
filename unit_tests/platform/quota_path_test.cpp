#include <kumquatloom/entry/local_response.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <thread>
#include <unit_tests/platform/platform_fixture.hpp>
#include <vector>

namespace
{

using namespace kumquatloom::unit_tests;

std::string const read_route =
    R"(["read","shop.example","/read/","safe",20,5,2,null,3,"shop",null])";
std::string const keyed_read =
    platform_request("GET", "/read/1", {}, 20000, "Api-Key: key-b\r\n");

/// One organisation whose quota has no tolerance beyond its burst.
class quota_fixture : public platform_fixture
{
public:
    quota_fixture()
    {
        settings.quota.tolerance = 0;
        limit(1, 100000, 5);
    }

    /// Writes a configuration with this quota.
    void limit(unsigned version, double rate_per_s, unsigned burst)
    {
        tenants = R"({"columns":["name","apiKeys","ratePerS","burst"],"rows":)"
                  R"([["baker",["key-b"],)" +
                  std::to_string(rate_per_s) + "," + std::to_string(burst) +
                  "]]}";
        put_configuration(version, read_route);
    }

    /// Lowers the rate so far that the tokens of the burst are the only ones.
    void keep_five_tokens()
    {
        REQUIRE(status() == 200);
        limit(2, 0.001, 5);
        wait_until(
            [&]
            {
                return metric("kumquatloom_document_version") == 2;
            });
    }

    received_response request()
    {
        auto const response = exchange(keyed_read);
        REQUIRE(response);
        return *response;
    }

    unsigned status()
    {
        return request().result_int();
    }

    /// Requests that the quota still admits.
    unsigned served()
    {
        unsigned count = 0;
        while (status() == 200)
            ++count;
        return count;
    }
};

raw_reply respond(received_request const& request)
{
    return {platform_response(request, "done")};
}

raw_reply refuse(received_request const& request)
{
    return {platform_response(
        request, "", "Not-Executed: 1\r\n", "503 Service Unavailable")};
}

} // namespace

// Guards against a delay that is rounded down to a time without a token.
TEST_CASE("a suggested retry delay is rounded up", "[entry][quota]")
{
    using namespace kumquatloom;
    using namespace std::chrono_literals;
    auto const delay = [](core::duration time)
    {
        return entry::local_response(
            admission::refusal_reason::over_quota,
            request::outcome::not_run,
            time)[boost::beast::http::field::retry_after];
    };
    CHECK(delay(1999001us) == "2.000");
    CHECK(delay(250ms) == "0.250");
}

// Guards against callers that return before a token is there, or all together.
TEST_CASE("a caller over the quota is told when to return", "[platform][quota]")
{
    quota_fixture fixture;
    // One token, and another one half a second later.
    fixture.limit(2, 2, 0);
    auto& upstream = fixture.add_upstream(respond);
    fixture.start_ready();
    platform_fixture::wait_until(
        [&]
        {
            return fixture.metric("kumquatloom_quota_observed_percent") == 100;
        });
    // Refusals since the last request that was served.
    std::vector<double> delays;
    constexpr std::size_t refusals = 8;
    while (delays.size() < refusals)
    {
        auto const response = fixture.request();
        if (response.result_int() == 200)
        {
            delays.clear();
            continue;
        }
        REQUIRE(response.result_int() == 429);
        delays.push_back(std::stod(std::string(response["Retry-After"])));
    }
    auto const executions = upstream.executions();
    CHECK(std::set<double>(delays.begin(), delays.end()).size() > 4);
    std::this_thread::sleep_for(std::chrono::duration<double>(delays.back()));
    CHECK(fixture.status() == 200);
    CHECK(upstream.executions() > executions);
}

// Guards against a quota that is charged for attempts instead of requests.
TEST_CASE("a request takes one token", "[platform][quota]")
{
    quota_fixture fixture;

    SECTION("also if it is retried")
    {
        std::atomic<int> refusals{0};
        for (int number = 0; number < 2; ++number)
            fixture.add_upstream(
                [&](received_request const& request)
                {
                    return refusals-- > 0 ? refuse(request) : respond(request);
                });
        fixture.start_ready();
        fixture.keep_five_tokens();
        refusals = 1;
        CHECK(fixture.status() == 200);
        CHECK(refusals < 0);
        CHECK(fixture.served() == 4);
    }
    SECTION("also if it is hedged")
    {
        auto const respond_unless_slow = [](received_request const& request)
        {
            auto reply = respond(request);
            reply.hold = request.target() == "/read/slow";
            return reply;
        };
        auto& one = fixture.add_upstream(respond_unless_slow);
        auto& other = fixture.add_upstream(respond_unless_slow);
        fixture.start_ready();
        fixture.keep_five_tokens();
        raw_caller caller(fixture.instance().callers_port());
        caller.send(platform_request(
            "GET", "/read/slow", {}, 20000, "Api-Key: key-b\r\n"));
        platform_fixture::wait_until(
            [&]
            {
                return one.held() == 1 && other.held() == 1;
            });
        one.release();
        other.release();
        CHECK(caller.receive()->result_int() == 200);
        CHECK(fixture.served() == 4);
    }
}

// Guards against organisations that pay for requests that did not run.
TEST_CASE("a request that did not run takes no token", "[platform][quota]")
{
    quota_fixture fixture;
    std::atomic<bool> refuses{false};
    auto& upstream = fixture.add_upstream(
        [&](received_request const& request)
        {
            return refuses ? refuse(request) : respond(request);
        });
    fixture.start_ready();
    fixture.keep_five_tokens();

    SECTION("because the upstream refused it")
    {
        refuses = true;
        for (int number = 0; number < 7; ++number)
            CHECK(fixture.status() == 503);
        refuses = false;
    }
    SECTION("because there was no upstream")
    {
        fixture.put_entry("i-1", upstream.port(), "draining");
        fixture.wait_for_reads();
        for (int number = 0; number < 7; ++number)
            CHECK(fixture.status() == 503);
    }
    CHECK(fixture.metric("kumquatloom_quota_refused_total") == 0);
    CHECK(fixture.metric("kumquatloom_quota_returned_total") >= 7);
}
