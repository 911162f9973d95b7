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

/// The service that answers, or the reason against it.
std::string answered_by(route_table const& table,
                        std::string_view host,
                        std::string_view path,
                        std::uint32_t draw = 0)
{
    auto const found = table.match({host, path, draw}, organisation_index{});
    return found ? std::string(found.value().service)
                 : std::string(to_string(found.error()));
}

} // namespace

// Guards against requests that are run by a service to which no route sends
// them.
TEST_CASE("hosts and whole prefixes select a route", "[admission]")
{
    auto const source = open_document();
    authenticator const organisations(source.organisations);
    route_table const table(source, organisations, core::region("r"));

    CHECK(answered_by(table, "a.example", "/x/1") == "shop");
    CHECK(answered_by(table, "a.example", "/x/") == "shop");
    CHECK(answered_by(table, "a.example", "/x/y/1") == "spare");
    CHECK(answered_by(table, "a.example", "/x/yz/1") == "shop");
    CHECK(answered_by(table, "b.example", "/x/1") == "spare");

    SECTION("a prefix without its slash is another path")
    {
        CHECK(answered_by(table, "a.example", "/x") == "unknown-path");
        CHECK(answered_by(table, "a.example", "/x/y") == "shop");
        CHECK(answered_by(table, "a.example", "/xx/1") == "unknown-path");
    }

    SECTION("a host is compared without its case and port")
    {
        CHECK(answered_by(table, "A.Example:8080", "/x/1") == "shop");
        CHECK(answered_by(table, "c.example", "/x/1") == "unknown-path");
        CHECK(answered_by(table, "", "/x/1") == "unknown-path");
    }

    SECTION("a split is divided by weight")
    {
        std::map<std::string, int> counts;
        for (std::uint32_t draw = 0; draw < 400; ++draw)
            ++counts[answered_by(table, "a.example", "/s/1", draw)];
        CHECK(counts["shop"] == 300);
        CHECK(counts["spare"] == 100);
    }
}
