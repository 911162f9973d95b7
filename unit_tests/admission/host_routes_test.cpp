#include <kumquatloom/admission/admission_gate.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::admission;

document::route_settings
route(std::string host, std::string prefix, std::string const& service)
{
    document::route_settings result;
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    result.service = core::service_name(service);
    return result;
}

document::document open_document()
{
    document::document result;
    result.access = document::access_rule::open;
    result.services[core::service_name("shop")] = {};
    result.services[core::service_name("spare")] = {};
    result.routes = {route("a.example", "/x/", "shop"),
                     route("a.example", "/x/y/", "spare"),
                     route("b.example", "/", "spare")};
    document::route_settings split = route("a.example", "/s/", "");
    split.split = {{core::service_name("shop"), 3},
                   {core::service_name("spare"), 1}};
    result.routes.push_back(split);
    return result;
}

/// The service of the matched route, or the reason for the refusal.
std::string matched_service(route_table const& table,
                            std::string_view host,
                            std::string_view path,
                            std::uint32_t random_bits = 0)
{
    auto const found =
        table.match({host, path, random_bits}, organisation_index{});
    return found ? std::string(found.value().service)
                 : std::string(to_string(found.error()));
}

} // namespace

// Guards against requests that are sent to a service other than the one of
// their route.
TEST_CASE("the host and the longest prefix select a route", "[admission]")
{
    auto const source = open_document();
    authenticator const organisations(source.organisations);
    route_table const table(source, organisations, core::region("r"));

    CHECK(matched_service(table, "a.example", "/x/1") == "shop");
    CHECK(matched_service(table, "a.example", "/x/") == "shop");
    CHECK(matched_service(table, "a.example", "/x/y/1") == "spare");
    CHECK(matched_service(table, "a.example", "/x/yz/1") == "shop");
    CHECK(matched_service(table, "b.example", "/x/1") == "spare");

    SECTION("a path without the slash of the prefix does not match")
    {
        CHECK(matched_service(table, "a.example", "/x") == "unknown-path");
        CHECK(matched_service(table, "a.example", "/x/y") == "shop");
        CHECK(matched_service(table, "a.example", "/xx/1") == "unknown-path");
    }

    SECTION("hosts are compared without case and port")
    {
        CHECK(matched_service(table, "A.Example:8080", "/x/1") == "shop");
        CHECK(matched_service(table, "c.example", "/x/1") == "unknown-path");
        CHECK(matched_service(table, "", "/x/1") == "unknown-path");
    }

    SECTION("a split route distributes requests by weight")
    {
        std::map<std::string, int> counts;
        for (std::uint32_t random_bits = 0; random_bits < 400; ++random_bits)
            ++counts[matched_service(table, "a.example", "/s/1", random_bits)];
        CHECK(counts["shop"] == 300);
        CHECK(counts["spare"] == 100);
    }
}
