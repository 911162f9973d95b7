#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/document/parse_document.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <unit_tests/entry/entry_fixture.hpp>
#include <utility>

namespace kumquatloom::unit_tests
{

namespace
{

using namespace std::chrono_literals;

/// A document with one service and routes with different repeat rules and
/// deadlines.
std::string document_text()
{
    std::string const zeros(64, '0');
    auto const digest = core::to_hex(core::as_bytes(core::sha256("secret")));
    auto const route = [](std::string const& prefix, std::string const& more)
    {
        return R"({"prefix":")" + prefix +
               R"(","service":"shop","organisations":["toys"],)" + more + "}";
    };
    return R"({"owners":{"platform":{"public_key_hex":")" + zeros +
           R"("},"team":{"public_key_hex":")" + zeros +
           R"("}},"sections":{"shop":{"owner":"team","services":{"shop":
{"expected_upstreams":2,"floor":0.5,"slots":6,"timeout_ms":20000}},
"organisations":{"toys":{"credential_sha256_hex":[")" +
           digest + R"("]},"others":{"credential_sha256_hex":[")" + zeros +
           R"("]}},"routes":[)" + route("/", R"("deadline_ms":20000)") + "," +
           route("/short", R"("deadline_ms":50)") + "," +
           route("/once", R"("repeat":"never","deadline_ms":20000)") +
           R"(,{"prefix":"/secret","service":"shop","organisations":["others"]}
]}},"fleet":{"expected_entry_instances":{"region":1}}})";
}

/// A document with one organisation, whose credential no caller has.
std::string document_text_without_credential()
{
    std::string const zeros(64, '0');
    return R"({"owners":{"platform":{"public_key_hex":")" + zeros +
           R"("},"team":{"public_key_hex":")" + zeros +
           R"("}},"sections":{"shop":{"owner":"team","services":{"shop":
{"expected_upstreams":2,"floor":0.5,"slots":6,"timeout_ms":20000}},
"organisations":{"toys":{"credential_sha256_hex":[")" +
           zeros + R"("]}},"routes":[{"prefix":"/","service":"shop",
"organisations":["toys"],"deadline_ms":20000}]}},
"fleet":{"expected_entry_instances":{"region":1}}})";
}

boost::intrusive_ptr<document::document>
parse_valid_document(std::string const& text)
{
    core::fault_list faults;
    auto document = document::parse_document(text, faults);
    for (auto const& fault : faults)
        UNSCOPED_INFO(fault);
    REQUIRE(faults.empty());
    return document;
}

} // namespace

entry_fixture::entry_fixture()
    : instance_list_(context_, {"127.0.0.1", 0}, 0ms)
{
    core::configure_logging("error");
    settings.instance = {core::instance_id("entry-1"),
                         core::failure_domain("domain"),
                         core::region("region")};
    settings.listen.callers = {"127.0.0.1", 0};
    settings.listen.operators = {"127.0.0.1", 0};
    settings.listen.peers = {"127.0.0.1", 0};
    settings.platform.log = {"127.0.0.1", 0};
    settings.platform.instances = instance_list_.local_endpoint();
    settings.platform.poll_interval = 50ms;
    settings.fleet.name = "test";
    settings.fleet.keys = {{1, "0123456789abcdef"}};
    settings.callers.entries_ttl = 100ms;
}

entry_fixture::~entry_fixture()
{
    instance_.reset();
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

raw_upstream& entry_fixture::add_upstream(raw_upstream::script script)
{
    upstreams_.push_back(std::make_unique<raw_upstream>(std::move(script)));
    auto& upstream = *upstreams_.back();
    list_upstream("upstream-" + std::to_string(upstreams_.size()),
                  upstream.port());
    return upstream;
}

void entry_fixture::add_unreachable_upstream()
{
    // The port is bound but not listening, so that connects fail and no other
    // process can use it.
    static boost::asio::io_context context;
    static boost::asio::ip::tcp::socket bound(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    list_upstream("dead", bound.local_endpoint().port());
}

void entry_fixture::list_entry_instance(std::string const& id,
                                        std::uint16_t port)
{
    instance_list_.upsert({{"id", id},
                           {"kind", "entry"},
                           {"host", "127.0.0.1"},
                           {"port", port},
                           {"peer_port", 9},
                           {"failure_domain", "domain"},
                           {"region", "region"},
                           {"state", "live"}});
}

void entry_fixture::start()
{
    thread_ = std::thread(
        [this]
        {
            context_.run();
        });
    instance_ = std::make_unique<entry::entry_instance>(settings, 0ms);
    instance_->publish(parse_valid_document(document_text()));
    wait_until(
        [this]
        {
            return exchange_with_operators_port("GET", "/readyz")
                       .result_int() == 200;
        });
}

std::optional<received_response>
entry_fixture::exchange(std::string_view request)
{
    raw_caller caller(instance_->callers_port());
    return caller.exchange(request);
}

received_response
entry_fixture::exchange_with_operators_port(std::string const& method,
                                            std::string const& target)
{
    raw_caller operators(instance_->operators_port());
    auto const response =
        operators.exchange(method + ' ' + target + " HTTP/1.1\r\n\r\n");
    REQUIRE(response);
    return *response;
}

void entry_fixture::remove_credential()
{
    instance_->publish(
        parse_valid_document(document_text_without_credential()));
    // The instance publishes it in its own thread.
    wait_until(
        [this]
        {
            return metric("kumquatloom_organisations") == 1;
        });
}

std::uint64_t entry_fixture::metric(std::string const& name)
{
    auto const page = exchange_with_operators_port("GET", "/metrics").body();
    auto const value = metric_value(page, name);
    REQUIRE(value);
    return *value;
}

void entry_fixture::wait_until(std::function<bool()> const& condition)
{
    while (!condition())
        std::this_thread::sleep_for(1ms);
}

void entry_fixture::list_upstream(std::string const& id, std::uint16_t port)
{
    instance_list_.upsert({{"id", id},
                           {"kind", "upstream"},
                           {"service", "shop"},
                           {"host", "127.0.0.1"},
                           {"port", port},
                           {"failure_domain", "domain"},
                           {"region", "region"},
                           {"state", "live"}});
}

} // namespace kumquatloom::unit_tests
