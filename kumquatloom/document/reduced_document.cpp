#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/edit_record.hpp>
#include <kumquatloom/document/reduced_document.hpp>
#include <kumquatloom/document/signing_key.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace json = boost::json;

namespace kumquatloom::document
{

namespace
{

constexpr std::uint64_t max_instances_per_region = 100000;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_owners = 10000;

json::object json_of(expected_instances const& expected)
{
    json::object regions;
    for (auto const& [name, count] : expected)
        regions[name.value()] = count;
    return {{"expected_entry_instances", std::move(regions)}};
}

json::object json_of(owner_keys const& owners)
{
    json::object object;
    for (auto const& [name, key] : owners)
        object[name] = json::object{{"public_key_hex", core::to_hex(key)}};
    return object;
}

void check_section_name(core::json_reader& parent, std::string const& name)
{
    bool const reserved =
        name == owners_part || name == fleet_part || name == whole_document;
    if (name.empty() || name.size() > max_name_bytes || reserved)
        parent.report("sections",
                      '"' + name.substr(0, max_name_bytes) + '"',
                      "a section name with a size from 1 to 64, other than "
                      "owners, fleet and *");
}

void read_sections(core::json_reader& reader, reduced_document& result)
{
    reader.each_member(
        "sections",
        [&](std::string const& name, core::json_reader& part)
        {
            check_section_name(reader, name);
            section_state state;
            state.content.reset(new section(read_section(part)));
            result.sections.emplace(name, std::move(state));
        },
        false);
    if (result.sections.size() > max_sections)
        reader.report("sections",
                      std::to_string(result.sections.size()) + " sections",
                      "at most " + std::to_string(max_sections));
}

} // namespace

std::size_t reduced_document::memory_bytes() const
{
    std::size_t bytes = sizeof(*this);
    for (auto const& [name, state] : sections)
        bytes += sizeof(std::pair<std::string, section_state>) +
                 name.capacity() + state.content->memory_bytes();
    return bytes;
}

owner_keys read_owners(core::json_reader& parent)
{
    owner_keys owners;
    parent.each_member(
        owners_part,
        [&](std::string const& name, core::json_reader& part)
        {
            auto const text = part.text("public_key_hex");
            auto const key = core::from_hex(text);
            if (!key || key->size() != ed25519_key_bytes)
                part.report("public_key_hex",
                            '"' + text + '"',
                            "an Ed25519 public key of 64 hex digits");
            if (name.empty() || name.size() > max_name_bytes)
                parent.report(owners_part,
                              '"' + name.substr(0, max_name_bytes) + '"',
                              "an owner name with a size from 1 to 64");
            owners.emplace(name, key.value_or(std::string()));
        });
    if (owners.size() > max_owners)
        parent.report(owners_part,
                      std::to_string(owners.size()) + " owners",
                      "at most " + std::to_string(max_owners));
    return owners;
}

expected_instances read_fleet(core::json_reader& fleet)
{
    expected_instances expected;
    for (auto const& [name, count] :
         fleet.numbers("expected_entry_instances", 1, max_instances_per_region))
        expected.emplace(core::region(name), static_cast<unsigned>(count));
    return expected;
}

std::string to_text(owner_keys const& owners)
{
    return json::serialize(json_of(owners));
}

std::string to_text(expected_instances const& expected)
{
    return json::serialize(json_of(expected));
}

reduced_document parse_reduced_document(std::string_view text,
                                        core::fault_list& faults)
{
    reduced_document result;
    auto const value = core::parse_json(text, faults);
    if (!value)
        return result;
    core::json_reader reader(*value, "", faults);
    if (!value->is_object())
        return result;
    result.owners = read_owners(reader);
    read_sections(reader, result);
    reader.object(
        fleet_part,
        [&](core::json_reader& part)
        {
            result.expected_entry_instances = read_fleet(part);
        },
        false);
    reader.finish();
    return result;
}

void update_digest(std::string const& name, section_state& state)
{
    std::string digest_input =
        name + '\n' + std::to_string(state.version) + '\n';
    digest_input += to_text(state.content->expand());
    state.digest = core::sha256(digest_input);
}

boost::intrusive_ptr<document> expand(reduced_document const& reduced)
{
    boost::intrusive_ptr<document> result(new document);
    result->version = reduced.version;
    result->expected_entry_instances = reduced.expected_entry_instances;
    for (auto const& [name, state] : reduced.sections)
    {
        auto content = state.content->expand();
        result->services.merge(content.services);
        result->organisations.merge(content.organisations);
        for (auto& route : content.routes)
            result->routes.push_back(std::move(route));
    }
    return result;
}

std::string to_text(reduced_document const& reduced, std::string_view part)
{
    if (part == owners_part)
        return to_text(reduced.owners);
    if (part == fleet_part)
        return to_text(reduced.expected_entry_instances);
    if (!part.empty())
    {
        auto const found = reduced.sections.find(part);
        return found == reduced.sections.end()
                   ? std::string()
                   : to_text(found->second.content->expand());
    }
    std::string text = "{\"owners\":" + to_text(reduced.owners);
    text += ",\"sections\":{";
    bool first = true;
    for (auto const& [name, state] : reduced.sections)
    {
        text += first ? "" : ",";
        first = false;
        text += json::serialize(json::string(name)) + ':';
        text += to_text(state.content->expand());
    }
    return text + "},\"fleet\":" + to_text(reduced.expected_entry_instances) +
           '}';
}

} // namespace kumquatloom::document
