#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/hosting/hosted_instance.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <latch>
#include <memory>
#include <platform/dialect.hpp>
#include <platform/store_client.hpp>
#include <stand_ins/platform_store_stand_in.hpp>
#include <string>
#include <thread>
#include <unistd.h>
#include <unit_tests/entry/raw_caller.hpp>
#include <unit_tests/platform/platform_fixture.hpp>
#include <unit_tests/platform/program_process.hpp>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::unit_tests;
using namespace std::chrono_literals;

constexpr unsigned instance_count = 8;

std::string configuration(unsigned version = 1)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":{"columns":["name","host","pathPrefix","kind",)"
           R"("timeoutS","targetLatencyS","priority","split","maxAttempts",)"
           R"("service"],"rows":[["read","shop.example","/","safe",20,5,2,null,2,)"
           R"("shop"]]},"services":{"columns":["name"],"rows":[["shop"]]},"limits":)"
           R"({"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutS":3,)"
           R"("idleTimeoutS":15}})";
}

/// Each process of the tests has addresses of its own, since the instances of
/// one fixture listen on the same port and several tests run side by side.
std::string address_of(unsigned number)
{
    constexpr int networks = 200;
    auto const process = ::getpid();
    return "127." + std::to_string(20 + process % networks) + '.' +
           std::to_string(process / networks % networks) + '.' +
           std::to_string(number + 1);
}

/// Instances of one failure domain in this process, and their store.
class domain_fixture
{
public:
    domain_fixture()
        : store_(context_, {"127.0.0.1", 0})
        , other_store_(context_, {"127.0.0.1", 0})
    {
        core::configure_logging("error");
        store_thread_ = std::thread(
            [this]
            {
                auto const guard = boost::asio::make_work_guard(context_);
                context_.run();
            });
    }

    ~domain_fixture()
    {
        for (auto const& instance : instances_)
            instance->begin_shutdown();
        for (auto& thread : threads_)
            thread.join();
        context_.stop();
        store_thread_.join();
    }

    /// Calls a function on the store's thread and returns its result.
    std::uint64_t with_store(
        std::function<std::uint64_t(stand_ins::platform_store_stand_in&)> const&
            function,
        bool is_other = false)
    {
        std::uint64_t result = 0;
        std::latch done(1);
        boost::asio::post(context_,
                          [&]
                          {
                              result =
                                  function(is_other ? other_store_ : store_);
                              done.count_down();
                          });
        done.wait();
        return result;
    }

    void put(std::string const& topic,
             std::string const& key,
             std::string const& value,
             bool is_other = false)
    {
        with_store(
            [&](stand_ins::platform_store_stand_in& store)
            {
                store.put(topic, key, value);
                return 0;
            },
            is_other);
    }

    void change_behaviour(stand_ins::store_behaviour next,
                          bool is_other = false)
    {
        with_store(
            [&](stand_ins::platform_store_stand_in& store)
            {
                store.change_behaviour(next);
                return 0;
            },
            is_other);
    }

    std::uint64_t whole_reads()
    {
        return with_store(
            [](stand_ins::platform_store_stand_in& store)
            {
                return store.listings("keyed.op");
            });
    }

    /// Starts an instance, with the first one as its seed unless it is that.
    void start(unsigned number, bool has_other_store = false)
    {
        settings::endpoint const any_port{address_of(number), 0};
        hosting::hosted_settings settings;
        settings.id = core::instance_id("front-" + std::to_string(number));
        settings.domain = core::failure_domain("west");
        settings.region = core::region("north");
        settings.region_domains = {settings.domain};
        settings.listen = {any_port,
                           any_port,
                           any_port,
                           {any_port.host, program_process::neighbours_port},
                           any_port};
        settings.store =
            (has_other_store ? other_store_ : store_).local_endpoint();
        settings.seeds = {{address_of(0), program_process::neighbours_port}};
        settings.grace = 1s;
        // Shorter than a read of a slow store.
        settings.max_start_delay = 100ms;
        auto const client = std::make_shared<platform::store_client const>(
            settings.store,
            platform::region_map{{settings.domain, settings.region}});
        instances_.push_back(std::make_unique<hosting::hosted_instance>(
            settings,
            hosting::make_any_store(client),
            platform::dialect,
            hosting::hosted_instance::page_settings{
                {platform::readiness_path, platform::resolve_path}, {}}));
        threads_.emplace_back(
            [instance = instances_.back().get()]
            {
                instance->run([] {});
            });
    }

    std::uint64_t configuration_version(unsigned number)
    {
        raw_caller caller(instances_[number]->operators_port(),
                          address_of(number));
        auto const page =
            caller.exchange("GET /metrics HTTP/1.1\r\nHost: platform\r\n\r\n");
        REQUIRE(page);
        return metric_value(page->body(), "kumquatloom_document_version")
            .value_or(0);
    }

    void wait_until_ready()
    {
        for (unsigned number = 0; number < instances_.size(); ++number)
            platform_fixture::wait_until(
                [&]
                {
                    raw_caller caller(instances_[number]->readiness_port(),
                                      address_of(number));
                    auto const response = caller.exchange(
                        "GET /readiness HTTP/1.1\r\nHost: platform\r\n\r\n");
                    return response && response->result_int() == 200;
                });
    }

private:
    boost::asio::io_context context_;
    stand_ins::platform_store_stand_in store_;
    stand_ins::platform_store_stand_in other_store_;
    std::thread store_thread_;
    std::vector<std::unique_ptr<hosting::hosted_instance>> instances_;
    std::vector<std::thread> threads_;
};

} // namespace

// Guards against a read of the whole store by each instance that starts while
// the others of its failure domain do.
TEST_CASE("instances that start together share reads of the store",
          "[platform]")
{
    domain_fixture domain;

    SECTION("after a restart of all of them")
    {
        domain.put("keyed.op", "config", configuration());
        for (unsigned number = 0; number < instance_count; ++number)
            domain.put("keyed.instances",
                       "west/" + address_of(number),
                       address_of(number));
        for (unsigned number = 0; number < instance_count; ++number)
            domain.start(number);
        domain.wait_until_ready();
        CHECK(domain.whole_reads() <= 2);
    }

    SECTION("at their first start, before there is a configuration")
    {
        for (unsigned number = 0; number < instance_count; ++number)
            domain.start(number);
        std::this_thread::sleep_for(1500ms);
        domain.put("keyed.op", "config", configuration());
        domain.wait_until_ready();
        CHECK(domain.whole_reads() <= 4);
    }
}

// Guards against an instance that serves with a configuration that is older
// than a change may take, and against one that waits for a store that is down.
TEST_CASE("an instance that starts serves a neighbour's old contents only "
          "without the store",
          "[platform]")
{
    domain_fixture domain;
    domain.put("keyed.op", "config", configuration());
    domain.start(0);
    domain.wait_until_ready();
    domain.change_behaviour(stand_ins::store_behaviour::down);
    std::this_thread::sleep_for(2500ms);

    SECTION("it waits for a read of the store, which has a newer one")
    {
        domain.put("keyed.op", "config", configuration(), true);
        domain.put("keyed.op", "config", configuration(2), true);
        domain.change_behaviour(stand_ins::store_behaviour::slow, true);
        domain.start(1, true);
        domain.wait_until_ready();
        CHECK(domain.configuration_version(1) == 2);
    }

    SECTION("it serves them after a failed read")
    {
        domain.start(1);
        domain.wait_until_ready();
        CHECK(domain.configuration_version(1) == 1);
    }
}
