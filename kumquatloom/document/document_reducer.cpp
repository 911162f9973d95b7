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

constexpr std::size_t max_detail_bytes = 256;
/// Maximum number of checkpoints. They reach as far back as the chain digests.
constexpr std::size_t max_checkpoints =
    document_reducer::max_chain_digests / document_reducer::checkpoint_interval;

/// Stores the first fault, if there is one, as the detail of an edit's outcome.
void store_first_fault(core::fault_list const& faults, edit_outcome& outcome)
{
    if (faults.empty())
        return;
    std::ostringstream text;
    text << faults.front();
    outcome.detail = text.str();
    if (outcome.detail.size() <= max_detail_bytes)
        return;
    // Cuts at the start of a UTF-8 sequence, never inside of one.
    std::size_t size = max_detail_bytes;
    while (size > 0 &&
           (static_cast<unsigned char>(outcome.detail[size]) & 0xC0U) == 0x80U)
        --size;
    outcome.detail.resize(size);
}

/// Reads one JSON object. Returns false if there were faults.
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
            [&](auto const& alternative)
            {
                return apply(alternative, entry.offset);
            },
            *record);
    if (effect != record_effect::snapshot_accepted &&
        effect != record_effect::snapshot_mismatch)
        last_change_offset_ = entry.offset;
    state_.chain = extend_chain(state_.chain, entry.offset, entry.data);
    state_.next = entry.offset + 1;
    record_chain_digest();
    return effect;
}

record_effect document_reducer::apply(edit_record const& record,
                                      core::log_offset offset)
{
    if (is_duplicate(record.id) &&
        !core::is_mutated(core::mutation::apply_edit_twice))
        return record_effect::duplicate;
    edit_outcome outcome;
    outcome.id = record.id;
    outcome.section = record.section;
    outcome.author = record.author;
    outcome.offset = offset;
    outcome.base = record.base;
    outcome.section_version = part_version(record.section);
    outcome.verdict = evaluate(record, offset, outcome);
    bool const accepted = outcome.verdict == edit_verdict::accepted;
    if (accepted)
        state_.document.version = offset;
    record_outcome(std::move(outcome));
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
        divergence_offset_ = offset;
        return record_effect::snapshot_mismatch;
    }
    // The parts are appended in order, so the last part completes the snapshot.
    if (record.part + 1 == record.parts)
        newest_snapshot_ =
            std::max(newest_snapshot_, std::optional(record.offset));
    return record_effect::snapshot_accepted;
}

record_effect document_reducer::apply(eject_record const& record,
                                      core::log_offset offset)
{
    if (is_duplicate(record.id))
        return record_effect::duplicate;
    record_id(record.id);
    return ejections_.eject(record, offset, ejection_budget_of(record.service))
               ? record_effect::ejections_changed
               : record_effect::ejection_rejected;
}

record_effect document_reducer::apply(readmit_record const& record,
                                      core::log_offset offset)
{
    if (is_duplicate(record.id))
        return record_effect::duplicate;
    record_id(record.id);
    return ejections_.readmit(
               record, offset, ejection_budget_of(record.service))
               ? record_effect::ejections_changed
               : record_effect::ejection_rejected;
}

edit_verdict document_reducer::evaluate(edit_record const& record,
                                        core::log_offset offset,
                                        edit_outcome& outcome)
{
    auto const& document = state_.document;
    if (record.section == whole_document)
        return document.created ? edit_verdict::already_created
                                : create_document(record, offset, outcome);
    if (!document.created)
        return edit_verdict::no_document;
    auto const key = document.owners.find(record.author);
    if (key == document.owners.end())
        return edit_verdict::unknown_author;
    if (!signature_is_valid(
            key->second, record.signature, record.signed_bytes()))
        return edit_verdict::bad_signature;
    bool const is_platform_part =
        record.section == owners_part || record.section == fleet_part;
    if (is_platform_part && record.author != platform_owner)
        return edit_verdict::not_owner;
    auto const section = document.sections.find(record.section);
    bool const is_owner = section != document.sections.end() &&
                          section->second.content->owner() == record.author;
    if (!is_owner && record.author != platform_owner)
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

edit_verdict document_reducer::create_document(edit_record const& record,
                                               core::log_offset offset,
                                               edit_outcome& outcome)
{
    if (record.author != platform_owner)
        return edit_verdict::not_owner;
    core::fault_list faults;
    auto document = parse_reduced_document(record.content, faults);
    if (!faults.empty())
    {
        store_first_fault(faults, outcome);
        return edit_verdict::invalid_section;
    }
    // The record that creates the document is signed with the platform key that
    // the document itself contains.
    auto const key = document.owners.find(std::string_view(platform_owner));
    if (key == document.owners.end() ||
        (settings_.platform_public_key &&
         key->second != *settings_.platform_public_key))
        return edit_verdict::unknown_author;
    if (!signature_is_valid(
            key->second, record.signature, record.signed_bytes()))
        return edit_verdict::bad_signature;
    document_index index(document);
    check_document(document, index, faults);
    if (!faults.empty())
    {
        store_first_fault(faults, outcome);
        return edit_verdict::invalid_document;
    }
    document.created = true;
    document.removal_version = document.owners_version =
        document.fleet_version = offset;
    for (auto& [name, state] : document.sections)
    {
        state.version = offset;
        update_digest(name, state);
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
    // read_owners() expects an object with the member "owners". Parsing the
    // content by itself first ensures that it is one JSON value, which cannot
    // add other members to that object.
    if (!core::parse_json(record.content, faults))
    {
        store_first_fault(faults, outcome);
        return edit_verdict::invalid_section;
    }
    std::string const text = "{\"owners\":" + record.content + '}';
    bool const well_formed = read_object(text,
                                         faults,
                                         [&](core::json_reader& reader)
                                         {
                                             owners = read_owners(reader);
                                         });
    store_first_fault(faults, outcome);
    if (!well_formed)
        return edit_verdict::invalid_section;
    check_owners(state_.document, owners, faults);
    store_first_fault(faults, outcome);
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
    store_first_fault(faults, outcome);
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
    store_first_fault(faults, outcome);
    if (!well_formed)
        return edit_verdict::invalid_section;
    // Only the platform may change the owner of a section.
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
    store_first_fault(faults, outcome);
    if (!faults.empty())
        return edit_verdict::invalid_document;
    update_digest(record.section, state);
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
    store_first_fault(faults, outcome);
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
    // A missing section has the version of the last removal, so that an edit
    // made before the removal is stale and does not recreate the section.
    return found == document.sections.end() ? document.removal_version
                                            : found->second.version;
}

unsigned
document_reducer::ejection_budget_of(core::service_name const& service) const
{
    for (auto const& [name, state] : state_.document.sections)
        if (auto const found = state.content->services().find(service.value()))
            return state.content->service(*found).ejection_budget();
    return 0;
}

bool document_reducer::is_duplicate(std::string const& id) const
{
    return find_outcome(id) != nullptr ||
           std::find(state_.recent_ids.begin(), state_.recent_ids.end(), id) !=
               state_.recent_ids.end();
}

void document_reducer::record_id(std::string const& id)
{
    push_bounded(state_.recent_ids, id, max_recent_records);
}

void document_reducer::record_outcome(edit_outcome outcome)
{
    push_bounded(state_.outcomes, std::move(outcome), max_recent_records);
}

void document_reducer::record_chain_digest()
{
    push_bounded(chain_digests_, state_.chain, max_chain_digests);
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
    chain_digests_.assign(1, state_.chain);
    checkpoints_.assign(1, {header.offset, header.digest});
    last_change_offset_ = header.offset;
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
    if (offset >= state_.next || state_.next - offset > chain_digests_.size())
        return std::nullopt;
    return chain_digests_[chain_digests_.size() - (state_.next - offset)];
}

std::optional<core::sha256_digest>
document_reducer::digest_at(core::log_offset offset) const
{
    for (auto const& saved : checkpoints_)
        if (saved.offset == offset)
            return saved.digest;
    // If only snapshot records were reduced since the offset, the state differs
    // from the current one only in `next` and `chain`.
    auto const chain = chain_at(offset);
    if (!chain || !last_change_offset_ || offset < *last_change_offset_)
        return std::nullopt;
    reduced_state state = state_;
    state.next = offset + 1;
    state.chain = *chain;
    return digest_of(state, ejections_.serialise());
}

std::size_t document_reducer::memory_bytes() const
{
    return state_.document.memory_bytes() + index_.memory_bytes() +
           chain_digests_.size() * sizeof(core::sha256_digest);
}

} // namespace kumquatloom::document
