#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/document/document_reducer.hpp>
#include <kumquatloom/document/signing_key.hpp>

#include <boost/assert.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace kumquatloom::document
{

namespace
{

constexpr std::size_t max_detail_size = 256;
/// Checkpoints that are kept; with the interval they reach as far back as the
/// chain digests.
constexpr std::size_t max_checkpoints =
    document_reducer::chain_history / document_reducer::checkpoint_interval;

/// Keeps the first fault of an invalid edit for its author.
void describe(core::fault_list const& faults, edit_outcome& outcome)
{
    if (faults.empty())
        return;
    std::ostringstream text;
    text << faults.front();
    outcome.detail = text.str();
    if (outcome.detail.size() <= max_detail_size)
        return;
    // A character of several bytes is not divided.
    std::size_t size = max_detail_size;
    while (size > 0 &&
           (static_cast<unsigned char>(outcome.detail[size]) & 0xC0U) == 0x80U)
        --size;
    outcome.detail.resize(size);
}

/// Reads one JSON object; false if there were faults.
template <typename Read>
bool read_object(std::string const& text,
                 core::fault_list& faults,
                 Read const& read)
{
    auto const value = core::parse_json(text, faults);
    if (!value)
        return false;
    core::json_reader reader(*value, "", faults);
    if (value->is_object())
    {
        read(reader);
        reader.finish();
    }
    return faults.empty();
}

template <typename Queue, typename Value>
void push_bounded(Queue& queue, Value value, std::size_t bound)
{
    queue.push_back(std::move(value));
    if (queue.size() > bound)
        queue.pop_front();
}

} // namespace

document_reducer::document_reducer(document_reducer_settings settings,
                                   ejection_reducer ejections)
    : settings_(std::move(settings))
    , ejections_(std::move(ejections))
{
}

record_effect document_reducer::reduce(log_entry const& entry)
{
    BOOST_ASSERT(entry.offset == state_.next);
    core::fault_list faults;
    auto const record = parse_record(entry.data, faults);
    auto effect = record_effect::malformed;
    if (record)
        effect = std::visit(
            [&](auto const& typed)
            {
                return apply(typed, entry.offset);
            },
            *record);
    if (effect != record_effect::snapshot_seen &&
        effect != record_effect::snapshot_differs)
        last_change_ = entry.offset;
    state_.chain = extend_chain(state_.chain, entry.offset, entry.data);
    state_.next = entry.offset + 1;
    keep_chain();
    return effect;
}

record_effect document_reducer::apply(edit_record const& record,
                                      core::log_offset offset)
{
    if (is_known(record.id) &&
        !core::is_mutated(core::mutation::apply_edit_twice))
        return record_effect::duplicate;
    edit_outcome outcome;
    outcome.id = record.id;
    outcome.section = record.section;
    outcome.author = record.author;
    outcome.offset = offset;
    outcome.base = record.base;
    outcome.section_version = part_version(record.section);
    outcome.verdict = decide(record, offset, outcome);
    bool const accepted = outcome.verdict == edit_verdict::accepted;
    if (accepted)
        state_.document.version = offset;
    remember(std::move(outcome));
    return accepted ? record_effect::edit_accepted
                    : record_effect::edit_rejected;
}

record_effect document_reducer::apply(snapshot_record const& record,
                                      core::log_offset offset)
{
    if (record.offset >= offset)
        return record_effect::malformed;
    auto const chain = chain_at(record.offset);
    auto const digest = digest_at(record.offset);
    bool const differs = (chain && *chain != record.chain) ||
                         (digest && *digest != record.digest);
    if (differs)
    {
        divergence_ = offset;
        return record_effect::snapshot_differs;
    }
    // Parts are appended in order, so the last one completes the snapshot.
    if (record.part + 1 == record.parts)
        newest_snapshot_ =
            std::max(newest_snapshot_, std::optional(record.offset));
    return record_effect::snapshot_seen;
}

record_effect document_reducer::apply(eject_record const& record,
                                      core::log_offset offset)
{
    if (is_known(record.id))
        return record_effect::duplicate;
    remember(record.id);
    return ejections_.eject(record, offset, budget_of(record.service))
               ? record_effect::ejections_changed
               : record_effect::ejection_refused;
}

record_effect document_reducer::apply(readmit_record const& record,
                                      core::log_offset offset)
{
    if (is_known(record.id))
        return record_effect::duplicate;
    remember(record.id);
    return ejections_.readmit(record, offset, budget_of(record.service))
               ? record_effect::ejections_changed
               : record_effect::ejection_refused;
}

edit_verdict document_reducer::decide(edit_record const& record,
                                      core::log_offset offset,
                                      edit_outcome& outcome)
{
    auto const& document = state_.document;
    if (record.section == whole_document)
        return document.created ? edit_verdict::already_created
                                : create(record, offset, outcome);
    if (!document.created)
        return edit_verdict::no_document;
    auto const key = document.owners.find(record.author);
    if (key == document.owners.end())
        return edit_verdict::unknown_author;
    if (!signature_is_valid(
            key->second, record.signature, record.signed_bytes()))
        return edit_verdict::bad_signature;
    bool const shared_part =
        record.section == owners_part || record.section == fleet_part;
    if (shared_part && record.author != platform_owner)
        return edit_verdict::not_owner;
    auto const section = document.sections.find(record.section);
    bool const owns = section != document.sections.end() &&
                      section->second.content->owner() == record.author;
    if (!owns && record.author != platform_owner)
        return edit_verdict::not_owner;
    if (record.base > document.version)
        return edit_verdict::unknown_base;
    if (record.base < outcome.section_version &&
        !core::is_mutated(core::mutation::accept_stale_base))
        return edit_verdict::stale_base;
    if (record.section == owners_part)
        return change_owners(record, offset, outcome);
    if (record.section == fleet_part)
        return change_fleet(record, offset, outcome);
    return record.content.empty() ? remove_section(record, offset, outcome)
                                  : change_section(record, offset, outcome);
}

edit_verdict document_reducer::create(edit_record const& record,
                                      core::log_offset offset,
                                      edit_outcome& outcome)
{
    if (record.author != platform_owner)
        return edit_verdict::not_owner;
    core::fault_list faults;
    auto document = parse_parts(record.content, faults);
    if (!faults.empty())
    {
        describe(faults, outcome);
        return edit_verdict::invalid_section;
    }
    // The first document carries the key that it is signed with.
    auto const key = document.owners.find(std::string_view(platform_owner));
    if (key == document.owners.end() ||
        (settings_.platform_public_key &&
         key->second != *settings_.platform_public_key))
        return edit_verdict::unknown_author;
    if (!signature_is_valid(
            key->second, record.signature, record.signed_bytes()))
        return edit_verdict::bad_signature;
    document_index index(document);
    check_whole(document, index, faults);
    if (!faults.empty())
    {
        describe(faults, outcome);
        return edit_verdict::invalid_document;
    }
    document.created = true;
    document.removal_version = document.owners_version =
        document.fleet_version = offset;
    for (auto& [name, state] : document.sections)
    {
        state.version = offset;
        seal(name, state);
    }
    index_ = std::move(index);
    state_.document = std::move(document);
    return edit_verdict::accepted;
}

edit_verdict document_reducer::change_owners(edit_record const& record,
                                             core::log_offset offset,
                                             edit_outcome& outcome)
{
    core::fault_list faults;
    owner_keys owners;
    // The reader of owners expects the member of the whole document, so the
    // content must be one JSON value by itself.
    if (!core::parse_json(record.content, faults))
    {
        describe(faults, outcome);
        return edit_verdict::invalid_section;
    }
    std::string const text = "{\"owners\":" + record.content + '}';
    bool const well_formed = read_object(text,
                                         faults,
                                         [&](core::json_reader& reader)
                                         {
                                             owners = read_owners(reader);
                                         });
    describe(faults, outcome);
    if (!well_formed)
        return edit_verdict::invalid_section;
    check_owners(state_.document, owners, faults);
    describe(faults, outcome);
    if (!faults.empty())
        return edit_verdict::invalid_document;
    state_.document.owners = std::move(owners);
    state_.document.owners_version = offset;
    return edit_verdict::accepted;
}

edit_verdict document_reducer::change_fleet(edit_record const& record,
                                            core::log_offset offset,
                                            edit_outcome& outcome)
{
    core::fault_list faults;
    expected_instances expected;
    bool const well_formed = read_object(record.content,
                                         faults,
                                         [&](core::json_reader& reader)
                                         {
                                             expected = read_fleet(reader);
                                         });
    describe(faults, outcome);
    if (!well_formed)
        return edit_verdict::invalid_section;
    state_.document.expected_entry_instances = std::move(expected);
    state_.document.fleet_version = offset;
    return edit_verdict::accepted;
}

edit_verdict document_reducer::change_section(edit_record const& record,
                                              core::log_offset offset,
                                              edit_outcome& outcome)
{
    core::fault_list faults;
    section_content content;
    bool const well_formed = read_object(record.content,
                                         faults,
                                         [&](core::json_reader& reader)
                                         {
                                             content = read_section(reader);
                                         });
    describe(faults, outcome);
    if (!well_formed)
        return edit_verdict::invalid_section;
    // Only the platform gives a section to another owner.
    if (record.author != platform_owner && content.owner != record.author)
        return edit_verdict::not_owner;
    section_state state;
    state.content.reset(new section(content));
    state.version = offset;
    auto& sections = state_.document.sections;
    bool const is_new = !sections.contains(record.section);
    if (is_new && sections.size() >= max_sections)
        return edit_verdict::invalid_document;
    index_.check(state_.document, record.section, state.content.get(), faults);
    describe(faults, outcome);
    if (!faults.empty())
        return edit_verdict::invalid_document;
    seal(record.section, state);
    index_.replace(record.section, state.content.get());
    sections.insert_or_assign(record.section, std::move(state));
    return edit_verdict::accepted;
}

edit_verdict document_reducer::remove_section(edit_record const& record,
                                              core::log_offset offset,
                                              edit_outcome& outcome)
{
    if (record.author != platform_owner)
        return edit_verdict::not_owner;
    auto& sections = state_.document.sections;
    auto const found = sections.find(record.section);
    if (found == sections.end())
        return edit_verdict::invalid_section;
    core::fault_list faults;
    index_.check(state_.document, record.section, nullptr, faults);
    describe(faults, outcome);
    if (!faults.empty())
        return edit_verdict::invalid_document;
    index_.replace(record.section, nullptr);
    sections.erase(found);
    state_.document.removal_version = offset;
    return edit_verdict::accepted;
}

core::log_offset document_reducer::part_version(std::string const& name) const
{
    auto const& document = state_.document;
    if (name == owners_part)
        return document.owners_version;
    if (name == fleet_part)
        return document.fleet_version;
    auto const found = document.sections.find(name);
    // An edit made before a removal must not bring the section back.
    return found == document.sections.end() ? document.removal_version
                                            : found->second.version;
}

unsigned document_reducer::budget_of(core::service_name const& service) const
{
    for (auto const& [name, state] : state_.document.sections)
        if (auto const found = state.content->services().find(service.value()))
            return state.content->service(*found).ejection_budget();
    return 0;
}

bool document_reducer::is_known(std::string const& id) const
{
    return find_outcome(id) != nullptr ||
           std::find(state_.recent_ids.begin(), state_.recent_ids.end(), id) !=
               state_.recent_ids.end();
}

void document_reducer::remember(std::string const& id)
{
    push_bounded(state_.recent_ids, id, max_recent_records);
}

void document_reducer::remember(edit_outcome outcome)
{
    push_bounded(state_.outcomes, std::move(outcome), max_recent_records);
}

void document_reducer::keep_chain()
{
    push_bounded(chains_, state_.chain, chain_history);
    if (state_.next % checkpoint_interval == 0)
        push_bounded(checkpoints_,
                     checkpoint{state_.next - 1,
                                digest_of(state_, ejections_.serialise())},
                     max_checkpoints);
}

bool document_reducer::restore(snapshot_record const& header,
                               std::string_view text)
{
    auto snapshot = parse_snapshot(header, text);
    if (!snapshot)
        return false;
    bool const is_later =
        snapshot->state.next > state_.next ||
        core::is_mutated(core::mutation::accept_older_version);
    if (!is_later || !ejections_.restore(snapshot->ejections))
        return false;
    state_ = std::move(snapshot->state);
    index_ = document_index(state_.document);
    chains_.assign(1, state_.chain);
    checkpoints_.assign(1, {header.offset, header.digest});
    last_change_ = header.offset;
    newest_snapshot_ = header.offset;
    return true;
}

std::optional<core::log_offset> document_reducer::offset() const
{
    if (state_.next == 0)
        return std::nullopt;
    return state_.next - 1;
}

state_snapshot document_reducer::snapshot() const
{
    return {state_, ejections_.serialise()};
}

edit_outcome const* document_reducer::find_outcome(std::string_view id) const
{
    auto const& outcomes = state_.outcomes;
    auto const found = std::find_if(outcomes.begin(),
                                    outcomes.end(),
                                    [&](edit_outcome const& outcome)
                                    {
                                        return outcome.id == id;
                                    });
    return found == outcomes.end() ? nullptr : &*found;
}

std::optional<core::sha256_digest>
document_reducer::chain_at(core::log_offset offset) const
{
    if (offset >= state_.next || state_.next - offset > chains_.size())
        return std::nullopt;
    return chains_[chains_.size() - (state_.next - offset)];
}

std::optional<core::sha256_digest>
document_reducer::digest_at(core::log_offset offset) const
{
    for (auto const& kept : checkpoints_)
        if (kept.offset == offset)
            return kept.digest;
    // Only snapshots were reduced since then, and they change nothing else.
    auto const chain = chain_at(offset);
    if (!chain || !last_change_ || offset < *last_change_)
        return std::nullopt;
    reduced_state state = state_;
    state.next = offset + 1;
    state.chain = *chain;
    return digest_of(state, ejections_.serialise());
}

std::size_t document_reducer::memory_bytes() const
{
    return state_.document.memory_bytes() + index_.memory_bytes() +
           chains_.size() * sizeof(core::sha256_digest);
}

} // namespace kumquatloom::document
