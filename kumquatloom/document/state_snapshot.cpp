#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/document_index.hpp>
#include <kumquatloom/document/state_snapshot.hpp>

#include <boost/assert.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <limits>

namespace json = boost::json;

namespace kumquatloom::document
{

namespace
{

constexpr std::uint64_t format_version = 1;
constexpr std::uint64_t max_number = std::numeric_limits<std::int64_t>::max();

std::string header_line(reduced_state const& state)
{
    auto const& document = state.document;
    return json::serialize(
        json::object{{"format", format_version},
                     {"next", state.next},
                     {"chain_hex", core::to_hex(core::as_bytes(state.chain))},
                     {"created", document.created},
                     {"version", document.version},
                     {"removal_version", document.removal_version},
                     {"owners_version", document.owners_version},
                     {"fleet_version", document.fleet_version},
                     {"section_count", document.sections.size()}});
}

std::string parts_line(reduced_document const& document)
{
    return "{\"owners\":" + to_text(document.owners) +
           ",\"fleet\":" + to_text(document.expected_entry_instances) + '}';
}

std::string recent_line(reduced_state const& state)
{
    std::string text = "{\"outcomes\":[";
    for (auto const& outcome : state.outcomes)
        text += (text.back() == '[' ? "" : ",") + to_text(outcome);
    json::array ids;
    for (auto const& id : state.recent_ids)
        ids.emplace_back(id);
    return text + "],\"ids\":" + json::serialize(ids) + '}';
}

std::string ejections_line(std::string_view ejections)
{
    return json::serialize(
        json::object{{"ejections_hex", core::to_hex(ejections)}});
}

std::string section_line(std::string const& name, section_state const& state)
{
    return "{\"name\":" + json::serialize(json::string(name)) +
           ",\"version\":" + std::to_string(state.version) +
           ",\"content\":" + to_text(state.content->expand()) + '}';
}

/// Parses a text line by line, one JSON object per line.
class line_reader
{
public:
    explicit line_reader(std::string_view text)
        : rest_(text)
    {
    }

    /// Calls `visit` with a reader for the object on the next line.
    template <typename Visit>
    void next(core::fault_list& faults, Visit const& visit)
    {
        auto const end = std::min(rest_.find('\n'), rest_.size());
        auto const value = core::parse_json(rest_.substr(0, end), faults);
        rest_.remove_prefix(std::min(end + 1, rest_.size()));
        if (!value)
            return;
        core::json_reader reader(*value, "", faults);
        visit(reader);
        reader.finish();
    }

    /// Whether no line is left.
    bool at_end() const
    {
        return rest_.empty();
    }

private:
    /// The lines that are not parsed yet.
    std::string_view rest_;
};

std::uint64_t read_header(core::json_reader& reader, reduced_state& state)
{
    auto& document = state.document;
    reader.number("format", format_version, format_version);
    state.next = reader.number("next", 1, max_number);
    auto const chain = core::from_hex(reader.text("chain_hex"));
    if (chain && chain->size() == state.chain.size())
        std::copy(chain->begin(), chain->end(), state.chain.begin());
    else
        reader.report("chain_hex", "malformed text", "a SHA-256 digest");
    document.created = reader.flag_or("created", false);
    auto const version = [&](std::string_view key)
    {
        return reader.number(key, 0, state.next - 1);
    };
    document.version = version("version");
    document.removal_version = version("removal_version");
    document.owners_version = version("owners_version");
    document.fleet_version = version("fleet_version");
    return reader.number("section_count", 0, max_sections);
}

void read_parts(core::json_reader& reader, reduced_document& document)
{
    document.owners = read_owners(reader);
    reader.object("fleet",
                  [&](core::json_reader& part)
                  {
                      document.expected_entry_instances = read_fleet(part);
                  });
}

void read_recent(core::json_reader& reader, reduced_state& state)
{
    reader.each_element("outcomes",
                        [&](core::json_reader& part)
                        {
                            state.outcomes.push_back(read_edit_outcome(part));
                        });
    for (auto& id : reader.texts("ids"))
        state.recent_ids.push_back(std::move(id));
    if (state.outcomes.size() > max_recent_records ||
        state.recent_ids.size() > max_recent_records)
        reader.report("ids", "too many entries", "at most 512");
}

std::string read_ejections(core::json_reader& reader)
{
    auto const text = reader.text("ejections_hex", 0, max_snapshot_bytes);
    auto const bytes = core::from_hex(text);
    if (!bytes)
        reader.report("ejections_hex", "malformed text", "hexadecimal text");
    return bytes.value_or(std::string());
}

void read_section_line(core::json_reader& reader, reduced_state& state)
{
    auto const name = reader.text("name", 1, 64);
    section_state entry;
    entry.version = reader.number("version", 0, state.next - 1);
    reader.object("content",
                  [&](core::json_reader& part)
                  {
                      entry.content.reset(new section(read_section(part)));
                  });
    if (!entry.content)
        return;
    update_digest(name, entry);
    if (!state.document.sections.emplace(name, std::move(entry)).second)
        reader.report("name", '"' + name + '"', "each section once");
}

/// Largest position up to `limit` at which the text can be cut without
/// splitting a UTF-8 sequence.
std::size_t cut_position(std::string_view text, std::size_t limit)
{
    if (text.size() <= limit)
        return text.size();
    auto const is_continuation_byte = [&](std::size_t index)
    {
        return (static_cast<unsigned char>(text[index]) & 0xC0U) == 0x80U;
    };
    std::size_t position = limit;
    while (position > 1 && is_continuation_byte(position))
        --position;
    return position;
}

} // namespace

core::sha256_digest digest_of(reduced_state const& state,
                              std::string_view ejections)
{
    std::string digests;
    for (auto const& line : {header_line(state),
                             parts_line(state.document),
                             recent_line(state),
                             ejections_line(ejections)})
        digests += core::as_bytes(core::sha256(line));
    for (auto const& [name, entry] : state.document.sections)
        digests += core::as_bytes(entry.digest);
    return core::sha256(digests);
}

std::string to_text(state_snapshot const& snapshot)
{
    auto const& state = snapshot.state;
    std::string text = header_line(state) + '\n';
    text += parts_line(state.document) + '\n';
    text += recent_line(state) + '\n';
    text += ejections_line(snapshot.ejections) + '\n';
    for (auto const& [name, entry] : state.document.sections)
        text += section_line(name, entry) + '\n';
    return text;
}

std::optional<state_snapshot> parse_snapshot(std::string_view text,
                                             core::fault_list& faults)
{
    state_snapshot result;
    auto& state = result.state;
    line_reader lines(text);
    std::uint64_t section_count = 0;
    lines.next(faults,
               [&](core::json_reader& reader)
               {
                   section_count = read_header(reader, state);
               });
    lines.next(faults,
               [&](core::json_reader& reader)
               {
                   read_parts(reader, state.document);
               });
    lines.next(faults,
               [&](core::json_reader& reader)
               {
                   read_recent(reader, state);
               });
    lines.next(faults,
               [&](core::json_reader& reader)
               {
                   result.ejections = read_ejections(reader);
               });
    for (std::uint64_t i = 0; i < section_count && faults.empty(); ++i)
        lines.next(faults,
                   [&](core::json_reader& reader)
                   {
                       read_section_line(reader, state);
                   });
    if (faults.empty() && !lines.at_end())
        faults.push_back({"", "extra lines", "one line for each section"});
    if (faults.empty() && state.document.created)
        check_document(state.document, document_index(state.document), faults);
    if (!faults.empty())
        return std::nullopt;
    return result;
}

std::optional<state_snapshot> parse_snapshot(snapshot_record const& header,
                                             std::string_view text)
{
    core::fault_list faults;
    auto result = parse_snapshot(text, faults);
    if (!result || result->state.next != header.offset + 1 ||
        result->state.chain != header.chain ||
        digest_of(result->state, result->ejections) != header.digest)
        return std::nullopt;
    return result;
}

snapshot_record header_of(state_snapshot const& snapshot)
{
    BOOST_ASSERT(snapshot.state.next > 0);
    snapshot_record header;
    header.offset = snapshot.state.next - 1;
    header.chain = snapshot.state.chain;
    header.digest = digest_of(snapshot.state, snapshot.ejections);
    return header;
}

std::vector<snapshot_record> split_snapshot(state_snapshot const& snapshot,
                                            std::string const& id,
                                            std::size_t part_bytes)
{
    // A UTF-8 sequence has at most 4 bytes, and each part must fit one.
    BOOST_ASSERT(part_bytes >= 4 && part_bytes <= max_snapshot_part_bytes);
    std::string const text = to_text(snapshot);
    auto common = header_of(snapshot);
    common.id = id;
    std::vector<snapshot_record> records;
    for (std::string_view rest = text; !rest.empty();)
    {
        auto const size = cut_position(rest, part_bytes);
        common.part = records.size();
        common.data = rest.substr(0, size);
        records.push_back(common);
        rest.remove_prefix(size);
    }
    for (auto& record : records)
        record.parts = records.size();
    return records;
}

} // namespace kumquatloom::document
