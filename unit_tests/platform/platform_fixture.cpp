#include <kumquatloom/core/logging.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <latch>
#include <platform/dialect.hpp>
#include <platform/store_client.hpp>
#include <unit_tests/platform/platform_fixture.hpp>
#include <utility>

namespace kumquatloom::unit_tests
{

namespace
{

using namespace std::chrono_literals;

settings::endpoint const any_port{"127.0.0.1", 0};

std::string
make_directory_response(std::vector<settings::endpoint> const& entries,
                        std::chrono::milliseconds)
{
    std::string text;
    for (auto const& entry : entries)
        text += to_string(entry) + "\n";
    return text;
}

/// Requests a page of the instance and returns the response.
received_response fetch_page(std::uint16_t port, std::string const& path)
{
    raw_caller caller(port);
    auto response =
        caller.exchange("GET " + path + " HTTP/1.1\r\nHost: platform\r\n\r\n");
    REQUIRE(response);
    return *response;
}

} // namespace

platform_fixture::platform_fixture()
    : store_(context_, any_port)
{
    core::configure_logging("error");
    settings.id = core::instance_id("front-1");
    settings.domain = core::failure_domain("west");
    settings.region = core::region("north");
    settings.listen = {any_port, any_port, any_port, any_port, any_port};
    settings.grace = 20s;
    settings.store = store_.local_endpoint();
    put_configuration(
        1,
        R"(["read","shop.example","/read/","safe",20,5,2,null,2,"shop"],)"
        R"(["order","shop.example","/order/","unsafe",20,5,1,null,2,"shop"])");
    store_thread_ = std::thread(
        [this]
        {
            auto const guard = boost::asio::make_work_guard(context_);
            context_.run();
        });
}

platform_fixture::~platform_fixture()
{
    if (thread_.joinable())
    {
        instance_->begin_shutdown();
        thread_.join();
    }
    instance_.reset();
    context_.stop();
    store_thread_.join();
}

raw_upstream& platform_fixture::add_upstream(raw_upstream::script script,
                                             std::string const& service)
{
    upstreams_.push_back(std::make_unique<raw_upstream>(std::move(script)));
    put_entry("i-" + std::to_string(upstreams_.size()),
              upstreams_.back()->port(),
              "ready",
              service);
    return *upstreams_.back();
}

void platform_fixture::put_entry(std::string const& id,
                                 std::uint16_t port,
                                 std::string const& state,
                                 std::string const& service,
                                 unsigned born,
                                 unsigned slots)
{
    auto const entry =
        R"({"service":")" + service + R"(","address":"127.0.0.1:)" +
        std::to_string(port) + R"(","zone":"west","slots":)" +
        std::to_string(slots) + R"(,"state":")" + state +
        R"(","warmupLeftS":0,"born":)" + std::to_string(born) + R"(,"seq":1})";
    with_store(
        [&](stand_ins::platform_store_stand_in& store)
        {
            store.put("keyed.servers", id, entry);
        });
}

void platform_fixture::remove_entry(std::string const& id)
{
    with_store(
        [&](stand_ins::platform_store_stand_in& store)
        {
            store.put("keyed.servers", id, "");
        });
}

void platform_fixture::put_configuration(unsigned version,
                                         std::string const& rows,
                                         unsigned header_timeout_s,
                                         std::string const& services,
                                         std::size_t max_body_bytes)
{
    auto const text =
        R"({"version":)" + std::to_string(version) +
        R"(,"routes":{"columns":["name","host","pathPrefix","kind",)"
        R"("timeoutS","targetLatencyS","priority","split","maxAttempts",)"
        R"("service")" +
        std::string(tenants.empty() ? "" : R"(,"public")") + R"(],"rows":[)" +
        rows + R"(]},"services":{"columns":["name"],"rows":[)" + services +
        R"(]},)"
        R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":)" +
        std::to_string(max_body_bytes) + R"(,"headerTimeoutS":)" +
        std::to_string(header_timeout_s) + R"(,"idleTimeoutS":15})" +
        (tenants.empty() ? "" : R"(,"tenants":)" + tenants) + "}";
    with_store(
        [&](stand_ins::platform_store_stand_in& store)
        {
            store.put("keyed.op", "config", text);
        });
}

void platform_fixture::with_store(
    std::function<void(stand_ins::platform_store_stand_in&)> const& function)
{
    if (!store_thread_.joinable())
    {
        function(store_);
        return;
    }
    std::latch done(1);
    boost::asio::post(context_,
                      [&]
                      {
                          function(store_);
                          done.count_down();
                      });
    done.wait();
}

void platform_fixture::wait_for_reads()
{
    // A read of the store takes two calls. Six calls contain at least two reads
    // that began after this point, and the second one starts only after the
    // result of the first one has been applied.
    constexpr std::uint64_t calls_of_three_reads = 6;
    auto const calls = [this]
    {
        std::uint64_t count = 0;
        with_store(
            [&](stand_ins::platform_store_stand_in& store)
            {
                count = store.calls();
            });
        return count;
    };
    auto const before = calls();
    wait_until(
        [&]
        {
            return calls() >= before + calls_of_three_reads;
        });
}

void platform_fixture::start()
{
    auto const store = std::make_shared<platform::store_client const>(
        settings.store,
        platform::region_map{
            {core::failure_domain("west"), core::region("north")}});
    instance_ = std::make_unique<hosting::hosted_instance>(
        settings,
        hosting::make_any_store(store),
        platform::dialect,
        hosting::hosted_instance::page_settings{
            {platform::readiness_path, platform::resolve_path},
            make_directory_response});
    thread_ = std::thread(
        [this]
        {
            instance_->run([] {});
        });
}

void platform_fixture::start_ready()
{
    start();
    wait_until(
        [this]
        {
            return readiness() == 200;
        });
}

void platform_fixture::finish()
{
    instance_->begin_shutdown();
    thread_.join();
}

std::optional<received_response>
platform_fixture::exchange(std::string const& request)
{
    raw_caller caller(instance_->callers_port());
    return caller.exchange(request);
}

unsigned platform_fixture::readiness()
{
    return fetch_page(instance_->readiness_port(), "/readiness").result_int();
}

std::uint64_t platform_fixture::metric(std::string const& name)
{
    auto const page = fetch_page(instance_->operators_port(), "/metrics");
    auto const value = metric_value(page.body(), name);
    REQUIRE(value);
    return *value;
}

std::string platform_fixture::directory()
{
    return fetch_page(instance_->directory_port(),
                      "/resolve?name=shop.example&region=north&zone=west")
        .body();
}

void platform_fixture::wait_until(std::function<bool()> const& condition)
{
    while (!condition())
        std::this_thread::sleep_for(2ms);
}

std::string platform_request(std::string_view method,
                             std::string_view target,
                             std::string_view body,
                             unsigned deadline_ms,
                             std::string_view more_headers)
{
    std::string text(method);
    text.append(" ").append(target).append(
        " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: 9c41d07be2a35f68\r\n");
    text.append("Deadline-Ms: ").append(std::to_string(deadline_ms));
    text.append("\r\nContent-Length: ").append(std::to_string(body.size()));
    return text.append("\r\n").append(more_headers).append("\r\n").append(body);
}

std::string platform_response(received_request const& request,
                              std::string_view body,
                              std::string_view more_headers,
                              std::string_view status)
{
    std::string text("HTTP/1.1 ");
    text.append(status).append("\r\nRequest-Id: ");
    text.append(request["Request-Id"].data(), request["Request-Id"].size());
    text.append("\r\nResponse-Signature: 3e1b.07\r\nContent-Length: ");
    text.append(std::to_string(body.size())).append("\r\n");
    return text.append(more_headers).append("\r\n").append(body);
}

} // namespace kumquatloom::unit_tests
