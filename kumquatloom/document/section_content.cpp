#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/section_content.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <cmath>
#include <cstring>
#include <utility>

namespace json = boost::json;

namespace kumquatloom::document
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t max_upstreams_per_service = 10000;
constexpr std::uint64_t max_slots = 100000;
constexpr std::uint64_t max_limit_per_s = 10000000;
constexpr std::size_t max_prefix_bytes = 2048;
constexpr std::size_t max_name_bytes = 128;
/// The floor is rounded to millionths. A fraction that is serialised and parsed
/// again may differ in its last bit, which would change the state digest.
constexpr double floor_steps = 1e6;

char const* name_of(detection_level level)
{
    switch (level)
    {
    case detection_level::fast:
        return "fast";
    case detection_level::cautious:
        return "cautious";
    case detection_level::balanced:
        break;
    }
    return "balanced";
}

char const* name_of(repeat_rule rule)
{
    switch (rule)
    {
    case repeat_rule::never:
        return "never";
    case repeat_rule::always:
        return "always";
    case repeat_rule::by_method:
        break;
    }
    return "by_method";
}

detection_level parse_detection(std::string const& text)
{
    if (text == "fast")
        return detection_level::fast;
    return text == "cautious" ? detection_level::cautious
                              : detection_level::balanced;
}

repeat_rule parse_repeat(std::string const& text)
{
    if (text == "never")
        return repeat_rule::never;
    return text == "always" ? repeat_rule::always : repeat_rule::by_method;
}

service_settings read_service(core::json_reader& reader)
{
    service_settings service;
    service.expected_upstreams = static_cast<unsigned>(
        reader.number("expected_upstreams", 1, max_upstreams_per_service));
    double const floor = reader.fraction_or("floor", 0.0, 1.0, service.floor);
    service.floor = std::round(floor * floor_steps) / floor_steps;
    service.slots = static_cast<unsigned>(reader.number("slots", 1, max_slots));
    service.detection = parse_detection(reader.one_of(
        "detection", {"fast", "balanced", "cautious"}, "balanced"));
    service.timeout =
        reader.milliseconds_or("timeout_ms", 1ms, 600s, service.timeout);
    return service;
}

organisation_settings read_organisation(core::json_reader& reader)
{
    organisation_settings organisation;
    for (auto const& text : reader.texts("credential_sha256_hex"))
    {
        auto const bytes = core::from_hex(text);
        core::sha256_digest digest;
        if (!bytes || bytes->size() != digest.size())
        {
            reader.report("credential_sha256_hex",
                          '"' + text + '"',
                          "a list of SHA-256 digests of 64 hex digits");
            continue;
        }
        std::memcpy(digest.data(), bytes->data(), digest.size());
        organisation.credentials.push_back(digest);
    }
    return organisation;
}

route_settings read_route(core::json_reader& reader)
{
    route_settings route;
    route.prefix = reader.text("prefix", 1, max_prefix_bytes);
    if (!route.prefix.empty() && route.prefix.front() != '/')
        reader.report("prefix", '"' + route.prefix + '"', "a path from /");
    route.service = core::service_name(reader.text("service"));
    for (auto& name : reader.texts("organisations"))
        route.organisations.emplace_back(std::move(name));
    for (auto& name : reader.texts("regions"))
        route.regions.emplace_back(std::move(name));
    route.repeat = parse_repeat(
        reader.one_of("repeat", {"by_method", "never", "always"}, "by_method"));
    route.limit_per_s = static_cast<std::uint32_t>(
        reader.number_or("limit_per_s", 0, max_limit_per_s, 0));
    route.deadline =
        reader.milliseconds_or("deadline_ms", 1ms, 600s, route.deadline);
    return route;
}

json::object to_json(service_settings const& service)
{
    return {{"expected_upstreams", service.expected_upstreams},
            {"floor", service.floor},
            {"slots", service.slots},
            {"detection", name_of(service.detection)},
            {"timeout_ms", service.timeout.count()}};
}

json::object to_json(organisation_settings const& organisation)
{
    json::array digests;
    for (auto const& digest : organisation.credentials)
        digests.emplace_back(core::to_hex(core::as_bytes(digest)));
    return {{"credential_sha256_hex", std::move(digests)}};
}

json::object to_json(route_settings const& route)
{
    json::array organisations;
    for (auto const& name : route.organisations)
        organisations.emplace_back(name.value());
    json::array regions;
    for (auto const& name : route.regions)
        regions.emplace_back(name.value());
    return {{"prefix", route.prefix},
            {"service", route.service.value()},
            {"organisations", std::move(organisations)},
            {"regions", std::move(regions)},
            {"repeat", name_of(route.repeat)},
            {"limit_per_s", route.limit_per_s},
            {"deadline_ms", route.deadline.count()}};
}

/// Reports a member whose name is empty or too long.
void check_name(core::json_reader& reader,
                std::string_view list,
                std::string const& name)
{
    if (name.empty() || name.size() > max_name_bytes)
        reader.report(list,
                      '"' + name.substr(0, max_name_bytes) + '"',
                      "a name with a size from 1 to " +
                          std::to_string(max_name_bytes));
}

} // namespace

section_content read_section(core::json_reader& reader)
{
    section_content result;
    result.owner = reader.text("owner", 1, 64);
    reader.each_member(
        "services",
        [&](std::string const& name, core::json_reader& part)
        {
            check_name(reader, "services", name);
            result.services.emplace(core::service_name(name),
                                    read_service(part));
        },
        false);
    reader.each_member(
        "organisations",
        [&](std::string const& name, core::json_reader& part)
        {
            check_name(reader, "organisations", name);
            result.organisations.emplace(core::organisation_name(name),
                                         read_organisation(part));
        },
        false);
    reader.each_element(
        "routes",
        [&](core::json_reader& part)
        {
            result.routes.push_back(read_route(part));
        },
        false);
    return result;
}

std::string to_text(section_content const& content)
{
    json::object services;
    for (auto const& [name, service] : content.services)
        services[name.value()] = to_json(service);
    json::object organisations;
    for (auto const& [name, organisation] : content.organisations)
        organisations[name.value()] = to_json(organisation);
    json::array routes;
    for (auto const& route : content.routes)
        routes.emplace_back(to_json(route));
    return json::serialize(
        json::object{{"owner", content.owner},
                     {"services", std::move(services)},
                     {"organisations", std::move(organisations)},
                     {"routes", std::move(routes)}});
}

} // namespace kumquatloom::document
