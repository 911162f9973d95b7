#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <crowd_tests/crowd_fixture.hpp>

namespace kumquatloom::crowd_tests
{

namespace
{

using namespace std::chrono_literals;
using unit_tests::platform_response;
using unit_tests::program_process;
using unit_tests::raw_caller;
using unit_tests::raw_reply;
using unit_tests::received_request;

/// Service time of the upstream that the crowd's requests are for.
constexpr std::chrono::milliseconds service_time{2};
/// Size of a response to a request whose target begins with /read/large.
constexpr std::size_t large_response_bytes = 2UL * 1024 * 1024;
/// Time that an ordinary caller has for a request.
constexpr std::chrono::seconds ordinary_time{20};

/// The instrumentation of sanitizers takes a multiple of the program's memory.
constexpr bool has_sanitizer =
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    true;
#else
    false;
#endif

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

} // namespace

crowd_fixture::crowd_fixture(std::size_t max_body_bytes)
{
    platform.put_configuration(
        1,
        R"(["read","shop.example","/read/","safe",20,5,1,null,2,"shop"],)"
        R"(["order","shop.example","/order/","unsafe",20,5,1,null,2,"shop"],)"
        R"(["other","shop.example","/other/","unsafe",20,5,1,null,2,"other"])",
        3,
        R"(["shop"],["other"])",
        max_body_bytes);
    crowd_upstream_ = &platform.add_upstream(
        [](received_request const& request)
        {
            std::this_thread::sleep_for(service_time);
            bool const is_large = request.target().starts_with("/read/large");
            return raw_reply{platform_response(
                request,
                std::string(is_large ? large_response_bytes : 2, 'x'))};
        });
    platform.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{platform_response(request, "done")};
        },
        "other");
    program.emplace(platform.settings.store, memory_mb, descriptors);
    unit_tests::platform_fixture::wait_until(
        [this]
        {
            return is_ready(*program);
        });
    callers.emplace(program->host());
    sampler_ = std::thread(
        [this]
        {
            sample();
        });
}

crowd_fixture::~crowd_fixture()
{
    ending_ = true;
    sampler_.join();
}

void crowd_fixture::wait_until_served()
{
    unsigned before = 0;
    do
    {
        before = crowd_upstream_->executions();
        std::this_thread::sleep_for(1s);
    } while (crowd_upstream_->executions() != before);
}

unsigned crowd_fixture::ordinary_status(std::string_view target)
{
    constexpr unsigned attempts = 2;
    unsigned status = 0;
    for (unsigned attempt = 0; attempt < attempts; ++attempt)
    {
        std::chrono::duration<double> delay = 100ms;
        try
        {
            raw_caller caller(program_process::callers_port, program->host());
            auto const response = caller.exchange(
                unit_tests::platform_request("POST", target, "kit"));
            status = response ? response->result_int() : 0;
            if (response && status != 503)
                return status;
            if (response && response->count("Retry-After") == 1)
                delay = std::chrono::duration<double>(
                    std::stod(std::string((*response)["Retry-After"])));
        }
        catch (boost::system::system_error const&)
        {
            status = 0;
        }
        std::this_thread::sleep_for(std::min<std::chrono::duration<double>>(
            delay, ordinary_time / 3.0));
    }
    return status;
}

void crowd_fixture::check_machine()
{
    INFO("peak resident bytes " << program->peak_resident_bytes());
    INFO("peak descriptors " << peak_descriptors_);
    CHECK(program->is_running());
    if (!has_sanitizer)
        CHECK(program->peak_resident_bytes() < memory_bytes);
    CHECK(peak_descriptors_ < descriptors);
}

void crowd_fixture::sample()
{
    while (!ending_)
    {
        peak_descriptors_ = std::max<std::size_t>(peak_descriptors_,
                                                  program->open_descriptors());
        std::this_thread::sleep_for(20ms);
    }
}

} // namespace kumquatloom::crowd_tests
