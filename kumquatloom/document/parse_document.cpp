#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/parse_document.hpp>

#include <boost/json/value.hpp>

#include <algorithm>
#include <cstring>

namespace kumquatloom::document
{

namespace
{

using namespace std::chrono_literals;

/// An Ed25519 public key has this many bytes.
constexpr std::size_t public_key_bytes = 32;
constexpr std::uint64_t max_upstreams_per_service = 10000;
constexpr std::uint64_t max_instances_per_region = 100000;
constexpr std::uint64_t max_slots = 100000;
constexpr std::uint64_t max_limit_per_s = 10000000;

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
    service.floor = reader.fraction_or("floor", 0.0, 1.0, service.floor);
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
    route.prefix = reader.text("prefix");
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

/// Reads one section into the document; names are unique over all sections.
void read_section(core::json_reader& section, document& result)
{
    section.each_member(
        "services",
        [&](std::string const& name, core::json_reader& reader)
        {
            auto const added = result.services.emplace(core::service_name(name),
                                                       read_service(reader));
            if (!added.second)
                section.report("services",
                               '"' + name + '"',
                               "a service name that no other section uses");
        },
        false);
    section.each_member(
        "organisations",
        [&](std::string const& name, core::json_reader& reader)
        {
            auto const added = result.organisations.emplace(
                core::organisation_name(name), read_organisation(reader));
            if (!added.second)
                section.report(
                    "organisations",
                    '"' + name + '"',
                    "an organisation name that no other section uses");
        },
        false);
    section.each_element(
        "routes",
        [&](core::json_reader& reader)
        {
            result.routes.push_back(read_route(reader));
        },
        false);
}

/// Checks that routes name services and organisations that exist.
void check_references(document const& result, core::fault_list& faults)
{
    for (auto const& route : result.routes)
    {
        if (!result.services.contains(route.service))
            faults.push_back(
                {"/sections",
                 '"' + route.service.value() + '"',
                 "a service of some section, in the route " + route.prefix});
        for (auto const& name : route.organisations)
            if (!result.organisations.contains(name))
                faults.push_back(
                    {"/sections",
                     '"' + name.value() + '"',
                     "an organisation of some section, in the route " +
                         route.prefix});
    }
}

void read_owner(core::json_reader& reader)
{
    auto const key = core::from_hex(reader.text("public_key_hex"));
    if (!key || key->size() != public_key_bytes)
        reader.report("public_key_hex",
                      "another text",
                      "an Ed25519 public key of 64 hex digits");
}

void read_fleet(core::json_reader& reader, document& result)
{
    auto const expected =
        reader.numbers("expected_entry_instances", 1, max_instances_per_region);
    for (auto const& [name, count] : expected)
        result.expected_entry_instances.emplace(core::region(name),
                                                static_cast<unsigned>(count));
}

} // namespace

boost::intrusive_ptr<document> parse_document(std::string_view text,
                                              core::fault_list& faults)
{
    boost::intrusive_ptr<document> result(new document);
    auto const value = core::parse_json(text, faults);
    if (!value)
        return result;
    core::json_reader reader(*value, "", faults);
    if (!value->is_object())
        return result;
    std::vector<std::string> owners;
    reader.each_member("owners",
                       [&](std::string const& name, core::json_reader& part)
                       {
                           owners.push_back(name);
                           read_owner(part);
                       });
    reader.each_member(
        "sections",
        [&](std::string const&, core::json_reader& section)
        {
            auto const owner = section.text("owner");
            if (std::find(owners.begin(), owners.end(), owner) == owners.end())
                section.report(
                    "owner", '"' + owner + '"', "one of the document's owners");
            read_section(section, *result);
        });
    reader.object(
        "fleet",
        [&](core::json_reader& part)
        {
            read_fleet(part, *result);
        },
        false);
    reader.finish();
    check_references(*result, faults);
    return result;
}

} // namespace kumquatloom::document
