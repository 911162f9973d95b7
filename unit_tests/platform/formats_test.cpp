#include <catch2/catch.hpp>

#include <platform/configuration.hpp>
#include <platform/log_records.hpp>
#include <platform/settings_file.hpp>
#include <platform/upstream_entry.hpp>
#include <string>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::platform;
using namespace std::chrono_literals;

region_map const regions{
    {core::failure_domain("nbi-west"), core::region("nairobi")}};

std::string const ready_entry =
    R"({"service":"shop","address":"10.128.0.9:8080","zone":"nbi-west",)"
    R"("version":"v1","slots":6,"state":"ready","warmupLeftS":1.5,)"
    R"("seq":4,"born":1764849600123})";

std::string const route_columns =
    R"({"columns":["name","host","pathPrefix","kind","timeoutS",)"
    R"("targetLatencyS","priority","split","maxAttempts","service"],"rows":)";

std::string configuration(std::string const& rows)
{
    return R"({"version":7,"routes":)" + route_columns + rows +
           R"(},"services":{"columns":["name","healthPath","maxConns",)"
           R"("protocol","tls"],"rows":[["shop","/health",390,"h1",false],)"
           R"(["spare","/health",390,"h1",false]]},"limits":{)"
           R"("maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
           R"("headerTimeoutS":3,"idleTimeoutS":15},"baseVersion":5})";
}

} // namespace

// Guards against malformed entries, or entries of other writers, that are taken
// for upstreams.
TEST_CASE("an upstream's entry in the store is decoded", "[platform]")
{
    auto const change = decode_upstream_entry("i-1", ready_entry, regions);
    CHECK(change.id.value() == "i-1");
    REQUIRE(change.entry);
    auto const& endpoint = change.entry->endpoint;
    CHECK(endpoint.service.value() == "shop");
    CHECK(endpoint.host == "10.128.0.9");
    CHECK(endpoint.port == 8080);
    CHECK(endpoint.region.value() == "nairobi");
    CHECK(endpoint.slots == 6);
    CHECK(endpoint.incarnation == 1764849600123U);
    CHECK(change.entry->warm_up == std::optional<core::duration>(1500ms));
    CHECK_FALSE(change.entry->leaving);

    SECTION("a draining upstream is leaving")
    {
        auto text = ready_entry;
        text.replace(text.find("ready"), 5, "draining");
        CHECK(decode_upstream_entry("i-1", text, regions).entry->leaving);
    }

    SECTION("a malformed entry yields no upstream")
    {
        auto const broken = GENERATE(
            std::string(""),
            std::string("\xff\xfe"),
            std::string("[]"),
            std::string(R"({"service":"shop"})"),
            std::string(R"({"service":"shop","address":7,"zone":"nbi-west",)"
                        R"("slots":6,"state":"ready"})"),
            std::string(
                R"({"service":"shop","address":"10.0.0.1:1","zone":"moon",)"
                R"("slots":6,"state":"ready"})"),
            std::string(R"({"service":"shop","address":"10.0.0.1:1",)"
                        R"("zone":"nbi-west","slots":6,"state":"asleep"})"),
            std::string(R"({"service":"shop","address":"10.0.0.1:1",)"
                        R"("zone":"nbi-west","slots":"six","state":"ready"})"));
        CHECK_FALSE(decode_upstream_entry("i-1", broken, regions).entry);
    }
}

// Guards against configurations that are translated incorrectly or accepted
// with faults.
TEST_CASE("a configuration is translated to a document", "[platform]")
{
    core::fault_list faults;
    auto const document = decode_configuration(
        configuration(
            R"([["r1","Shop.example","/read/","safe",3,1.2,2,null,2,"shop"],)"
            R"(["r2","Shop.example","/order/","unsafe",null,1,0,)"
            R"([{"service":"shop","weight":90},)"
            R"({"service":"spare","weight":10}],3,null]])"),
        faults);
    CHECK(faults.empty());
    REQUIRE(document);
    CHECK(document->version == 7);
    CHECK(document->access == document::access_rule::open);
    CHECK(document->services.size() == 2);
    REQUIRE(document->routes.size() == 2);
    auto const& read = document->routes[0];
    CHECK(read.prefix == "/read/");
    CHECK(read.repeat == document::repeat_rule::always);
    CHECK(read.deadline == 3s);
    CHECK(read.target_latency == 1200ms);
    CHECK(read.rank == 2);
    CHECK(read.max_attempts == 2);
    auto const& order = document->routes[1];
    CHECK(order.repeat == document::repeat_rule::never);
    REQUIRE(order.split.size() == 2);
    CHECK(order.split[0].weight == 9 * order.split[1].weight);
    REQUIRE(document->limits);
    CHECK(document->limits->idle_timeout == 15s);

    SECTION("a configuration with a fault is rejected as a whole")
    {
        auto const rows = GENERATE(
            // Unknown service.
            std::string(R"([["r","h","/a/","safe",3,1,2,null,2,"gone"]])"),
            // No trailing slash.
            std::string(R"([["r","h","/a","safe",3,1,2,null,2,"shop"]])"),
            // Missing weight.
            std::string(
                R"([["r","h","/a/","safe",3,1,2,[{"service":"shop"}],2,null]])"),
            // Fewer values than columns.
            std::string(R"([["r","h"]])"),
            // Neither a service nor a split.
            std::string(R"([["r","h","/a/","safe",3,1,2,null,2,null]])"));
        core::fault_list found;
        CHECK_FALSE(decode_configuration(configuration(rows), found));
        CHECK_FALSE(found.empty());
    }

    SECTION("a truncated configuration is rejected")
    {
        core::fault_list found;
        auto const whole = configuration("[]");
        CHECK_FALSE(
            decode_configuration(whole.substr(0, whole.size() / 2), found));
        CHECK_FALSE(found.empty());
    }
}

TEST_CASE("records of a topic are encoded and decoded", "[platform]")
{
    std::string const head("\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x04", 16);
    auto const body =
        head + encode_record({"a", "one"}) + encode_record({"gone", ""});
    auto const page = decode_records(body);
    REQUIRE(page);
    CHECK(page->end == 9);
    CHECK(page->first == 4);
    REQUIRE(page->records.size() == 2);
    CHECK(page->records[0].key == "a");
    CHECK(page->records[0].value == "one");
    CHECK(page->records[1].value.empty());

    SECTION("a truncated page is rejected")
    {
        // A page may end after its header or after any complete record.
        for (std::size_t size = 0; size < body.size(); ++size)
            if (size != 16 && size != 16 + encode_record({"a", "one"}).size())
                CHECK_FALSE(decode_records(body.substr(0, size)));
    }
}

TEST_CASE("the platform's settings file is parsed", "[platform]")
{
    std::string const text =
        "node=front-1\nzone=nbi-west\nregion=nairobi\nip=10.1.0.35\n"
        "zones.nbi-west=nairobi\nzones.msa-north=mombasa\n"
        "listen.front=10.1.0.35:8144\nlisten.ready=10.1.0.35:8140\n"
        "listen.control=10.1.0.35:8146\nlisten.directory=10.1.0.35:8143\n"
        "internalPortRange=7660,7675\nseeds=10.1.0.35:8146,10.2.0.28:8146\n"
        "limits.maxFds=4100\nlimits.memoryMb=260\nnew.field=1\n"
        "bounds=graceS=6,retryBudgetRatio=0.2,ttl_max_s=5,floorShare=0.7,"
        "strictRevoke=true,revokeS=4,quotaWindowS=6,quotaOverage=0.2,"
        "quotaTolerance=30\n"
        "platform.address=10.200.1.7:8142\n";
    core::fault_list faults;
    auto const settings = parse_settings_file(text, faults);
    CHECK(faults.empty());
    auto const& instance = settings.instance;
    CHECK(instance.id.value() == "front-1");
    CHECK(instance.domain.value() == "nbi-west");
    CHECK(instance.listen.callers.port == 8144);
    CHECK(instance.listen.readiness->port == 8140);
    CHECK(instance.listen.directory->port == 8143);
    CHECK(instance.listen.neighbours.port == 8146);
    CHECK(instance.listen.operators.port == 7660);
    CHECK(instance.store.port == 8142);
    CHECK(instance.seeds.size() == 2);
    CHECK(instance.grace == 6s);
    CHECK(instance.retry_percent == 20);
    CHECK(instance.directory_ttl == 5s);
    CHECK(instance.strict_revocation);
    CHECK(instance.max_revocation_delay == 4s);
    CHECK(instance.quota.window == 6s);
    CHECK(instance.quota.overage == 0.2);
    CHECK(instance.quota.tolerance == 30);
    CHECK(instance.descriptors == 4100);
    CHECK(settings.regions.size() == 2);

    SECTION("a missing address is reported by name")
    {
        auto broken = text;
        broken.replace(broken.find("listen.front"), 12, "listen.other");
        core::fault_list found;
        parse_settings_file(broken, found);
        REQUIRE(found.size() == 1);
        CHECK(found[0].pointer == "listen.front");
    }

    SECTION("the connections have to leave descriptors for upstreams")
    {
        // Of 4,100 descriptors, callers get 3,100; four ports share the rest.
        core::fault_list found;
        auto const fits =
            parse_settings_file(text + "limits.portConnections=249\n", found);
        CHECK(found.empty());
        CHECK(fits.instance.port_connections == 249);
        parse_settings_file(text + "limits.portConnections=250\n", found);
        REQUIRE(found.size() == 1);
        CHECK(found[0].pointer == "limits.callerConnections");
        found.clear();
        auto const callers = parse_settings_file(
            text + "limits.callerConnections=4095\n", found);
        CHECK(found.empty());
        CHECK(hosting::caller_connections(callers.instance) == 4095);
        CHECK(hosting::port_connections(callers.instance) == 1);
        parse_settings_file(text + "limits.callerConnections=4096\n", found);
        CHECK(found.size() == 1);
    }

    SECTION("a wait for memory ends within the grace period")
    {
        core::fault_list found;
        auto const fits =
            parse_settings_file(text + "limits.memoryWaitMs=6000\n", found);
        CHECK(found.empty());
        CHECK(fits.instance.memory_wait == 6s);
        parse_settings_file(text + "limits.memoryWaitMs=6001\n", found);
        REQUIRE(found.size() == 1);
        CHECK(found[0].pointer == "limits.memoryWaitMs");
    }

    SECTION("a malformed bound is reported by name")
    {
        auto broken = text;
        broken.replace(broken.find("graceS=6"), 8, "graceS=x");
        core::fault_list found;
        parse_settings_file(broken, found);
        REQUIRE(found.size() == 1);
        CHECK(found[0].pointer == "graceS");
    }
}
