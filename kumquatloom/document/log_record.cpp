#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/log_record.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <limits>

namespace json = boost::json;

namespace kumquatloom::document
{

namespace
{

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t signature_bytes = 64;
/// Some JSON parsers only support integers of up to 63 bits.
constexpr std::uint64_t max_number = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t max_snapshot_parts = 4096;
constexpr std::uint64_t max_slot = 9999;
constexpr std::size_t record_id_bytes = 16;

/// Reads a name without control characters. Names are part of the signed bytes,
/// in which line breaks separate the fields.
std::string read_name(core::json_reader& reader, std::string_view key)
{
    std::string name = reader.text(key, 1, max_name_bytes);
    bool const has_control =
        std::any_of(name.begin(),
                    name.end(),
                    [](unsigned char character)
                    {
                        return character < 0x20U || character == 0x7FU;
                    });
    if (has_control)
        reader.report(key, "a control character", "printable characters");
    return name;
}

std::string
read_hex(core::json_reader& reader, std::string_view key, std::size_t size)
{
    auto const text = reader.text(key, 2 * size, 2 * size);
    auto const bytes = core::from_hex(text);
    if (!bytes)
        reader.report(key, '"' + text + '"', "hexadecimal text");
    return bytes.value_or(std::string());
}

core::sha256_digest read_digest(core::json_reader& reader, std::string_view key)
{
    core::sha256_digest digest{};
    auto const bytes = read_hex(reader, key, digest.size());
    if (bytes.size() == digest.size())
        std::copy(bytes.begin(), bytes.end(), digest.begin());
    return digest;
}

edit_record read_edit(core::json_reader& reader)
{
    edit_record record;
    record.id = read_name(reader, "id");
    record.section = read_name(reader, "section");
    record.base = reader.number("base", 0, max_number);
    record.author = read_name(reader, "author");
    record.content = reader.text("content", 0, max_record_bytes);
    record.signature = read_hex(reader, "signature_hex", signature_bytes);
    return record;
}

snapshot_record read_snapshot(core::json_reader& reader)
{
    snapshot_record record;
    record.id = read_name(reader, "id");
    record.offset = reader.number("offset", 0, max_number);
    record.chain = read_digest(reader, "chain_hex");
    record.digest = read_digest(reader, "digest_hex");
    record.parts = reader.number("parts", 1, max_snapshot_parts);
    record.part = reader.number("part", 0, record.parts - 1);
    record.data = reader.text("data", 0, max_record_bytes);
    return record;
}

eject_record read_eject(core::json_reader& reader)
{
    eject_record record;
    record.id = read_name(reader, "id");
    record.service = core::service_name(read_name(reader, "service"));
    record.upstream = core::upstream_id(read_name(reader, "upstream"));
    record.slot = reader.number("slot", 0, max_slot);
    if (reader.has("released"))
        record.released = reader.number("released", 0, max_number);
    return record;
}

readmit_record read_readmit(core::json_reader& reader)
{
    readmit_record record;
    record.id = read_name(reader, "id");
    record.service = core::service_name(read_name(reader, "service"));
    record.upstream = core::upstream_id(read_name(reader, "upstream"));
    record.slot = reader.number("slot", 0, max_slot);
    record.ejection = reader.number("ejection", 0, max_number);
    return record;
}

log_record read_record(core::json_reader& reader)
{
    auto const type =
        reader.one_of("type", {"edit", "snapshot", "eject", "readmit"});
    if (type == "snapshot")
        return read_snapshot(reader);
    if (type == "eject")
        return read_eject(reader);
    if (type == "readmit")
        return read_readmit(reader);
    return read_edit(reader);
}

json::object to_json(edit_record const& record)
{
    return {{"type", "edit"},
            {"id", record.id},
            {"section", record.section},
            {"base", record.base},
            {"author", record.author},
            {"content", record.content},
            {"signature_hex", core::to_hex(record.signature)}};
}

json::object to_json(snapshot_record const& record)
{
    return {{"type", "snapshot"},
            {"id", record.id},
            {"offset", record.offset},
            {"chain_hex", core::to_hex(core::as_bytes(record.chain))},
            {"digest_hex", core::to_hex(core::as_bytes(record.digest))},
            {"part", record.part},
            {"parts", record.parts},
            {"data", record.data}};
}

json::object to_json(eject_record const& record)
{
    json::object object{{"type", "eject"},
                        {"id", record.id},
                        {"service", record.service.value()},
                        {"upstream", record.upstream.value()},
                        {"slot", record.slot}};
    if (record.released)
        object["released"] = *record.released;
    return object;
}

json::object to_json(readmit_record const& record)
{
    return {{"type", "readmit"},
            {"id", record.id},
            {"service", record.service.value()},
            {"upstream", record.upstream.value()},
            {"slot", record.slot},
            {"ejection", record.ejection}};
}

} // namespace

std::string edit_record::signed_bytes() const
{
    std::string bytes = "kumquatloom edit 1\n";
    for (auto const* const field : {&id, &section, &author})
        bytes += *field + '\n';
    bytes += std::to_string(base) + '\n';
    bytes += core::to_hex(core::as_bytes(core::sha256(content))) + '\n';
    return bytes;
}

std::string to_text(log_record const& record)
{
    return std::visit(
        [](auto const& alternative)
        {
            return json::serialize(to_json(alternative));
        },
        record);
}

std::optional<log_record> parse_record(std::string_view text,
                                       core::fault_list& faults)
{
    if (text.size() > max_record_bytes)
    {
        faults.push_back({"",
                          std::to_string(text.size()) + " bytes",
                          "at most " + std::to_string(max_record_bytes)});
        return std::nullopt;
    }
    auto const value = core::parse_json(text, faults);
    if (!value)
        return std::nullopt;
    core::json_reader reader(*value, "", faults);
    auto record = read_record(reader);
    reader.finish();
    if (!faults.empty())
        return std::nullopt;
    return record;
}

std::string random_record_id()
{
    return core::to_hex(core::random_bytes(record_id_bytes));
}

} // namespace kumquatloom::document
