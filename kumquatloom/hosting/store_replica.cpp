#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/replica_changes.hpp>
#include <kumquatloom/hosting/replica_snapshot.hpp>
#include <kumquatloom/hosting/store_replica.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::hosting
{

namespace
{

/// Number of ignored entries whose faults are remembered, so that each is
/// logged once.
constexpr std::size_t max_logged_faults = 256;

/// Age in milliseconds, rounded up so that the contents never look fresher than
/// they are.
std::chrono::milliseconds age_of(core::time_point as_of, core::time_point now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(now - as_of);
}

/// Logs each fault of entries for organisations once, not again for each
/// version of the configuration that leaves it as it was.
void log_ignored_organisations(document::document const* before,
                               document::document const& after)
{
    for (auto const& [fault, ignored] : after.ignored)
    {
        auto const is_same =
            [&fault = fault, &ignored = ignored](auto const& item)
        {
            return item.first == fault && item.second == ignored;
        };
        bool const is_known =
            before != nullptr && std::any_of(before->ignored.begin(),
                                             before->ignored.end(),
                                             is_same);
        if (!is_known)
            core::log_warning("organisations_ignored",
                              {{"reason", to_string(fault)},
                               {"count", ignored.count},
                               {"first_entry", ignored.first_entry},
                               {"version", after.version}});
    }
}

void log_change(routing::upstream_change const& change, bool is_lapsed)
{
    if (!change.entry)
    {
        core::log_info(is_lapsed ? "upstream_lapsed" : "upstream_removed",
                       {{"upstream", change.id.value()}});
        return;
    }
    auto const& endpoint = change.entry->endpoint;
    core::log_info(change.entry->leaving ? "upstream_leaving"
                                         : "upstream_listed",
                   {{"upstream", change.id.value()},
                    {"service", endpoint.service.value()},
                    {"address", endpoint.host},
                    {"port", endpoint.port},
                    {"domain", endpoint.domain.value()}});
}

} // namespace

store_replica::store_replica(
    parser parse,
    routing::upstream_registry_settings const& settings,
    fault_handler entry_ignored,
    redactor redact)
    : parse_(parse)
    , redact_(redact)
    , entry_ignored_(std::move(entry_ignored))
    , registry_(settings)
{
}

store_replica::change store_replica::apply(store_page const& page,
                                           core::time_point as_of,
                                           core::time_point now)
{
    change result;
    ++own_reads_;
    last_own_read_ = as_of;
    advance_to(as_of, now);
    // Newer contents may have arrived from a neighbour during the read, of the
    // configuration or of the upstreams alone.
    if (page.next.configuration >= position_.configuration)
    {
        if (page.document)
            result.document_changed = apply_document(*page.document);
        position_.configuration = page.next.configuration;
    }
    if (page.next.upstreams < position_.upstreams)
        return result;
    for (auto const& item : page.upstreams)
        report_fault(item);
    if (page.is_complete)
    {
        std::vector<routing::listed_upstream> listed;
        for (auto const& item : page.upstreams)
            if (item.entry)
                listed.push_back(*item.entry);
        replace_upstreams(listed, page.next.upstreams, now, result);
    }
    else
    {
        result.upstreams_changed =
            apply_changes(page.upstreams, page.next.upstreams, now);
        position_.upstreams = page.next.upstreams;
    }
    return result;
}

std::optional<store_replica::change>
store_replica::apply(neighbour_message const& message, core::time_point now)
{
    change result;
    if (!message.has_contents)
        return result;
    bool const has_new_changes =
        position_.upstreams < message.position.upstreams;
    // A message contains recent changes of the upstreams but no configuration,
    // so a newer configuration requires a snapshot.
    if (!as_of_ || position_.configuration < message.position.configuration ||
        (has_new_changes &&
         position_.upstreams < message.changes_since.upstreams))
        return std::nullopt;
    if (has_new_changes)
    {
        result.upstreams_changed =
            apply_changes(message.changes, message.position.upstreams, now);
        position_.upstreams = message.position.upstreams;
    }
    // The current contents include those of the neighbour, so they are at least
    // as recent as its read.
    advance_to_read_of(message, now);
    return result;
}

store_replica::change store_replica::apply(replica_snapshot const& snapshot,
                                           core::time_point requested_at,
                                           core::time_point now)
{
    change result;
    if (snapshot.document.empty() && document_)
        return result;
    advance_to(requested_at - snapshot.age, now);
    if (snapshot.position.configuration >= position_.configuration)
    {
        if (!snapshot.document.empty())
            result.document_changed = apply_document(snapshot.document);
        position_.configuration = snapshot.position.configuration;
    }
    if (snapshot.position.upstreams >= position_.upstreams)
    {
        replace_upstreams(
            snapshot.upstreams, snapshot.position.upstreams, now, result);
        registry_.mark_lapsed(snapshot.lapsed, snapshot.lapsed_grace, now);
    }
    return result;
}

store_replica::change store_replica::apply(replica_changes const& changes,
                                           core::time_point requested_at,
                                           core::time_point now)
{
    change result;
    advance_to(requested_at - changes.age, now);
    if (!changes.document.empty() &&
        changes.position.configuration >= position_.configuration)
    {
        result.document_changed = apply_document(changes.document);
        position_.configuration = changes.position.configuration;
    }
    if (changes.position.upstreams >= position_.upstreams)
    {
        result.upstreams_changed =
            apply_changes(changes.upstreams, changes.position.upstreams, now);
        position_.upstreams = changes.position.upstreams;
    }
    return result;
}

store_replica::change store_replica::expire(core::time_point now)
{
    change result;
    result.upstreams_changed = registry_.expire(now);
    if (result.upstreams_changed)
        core::log_info("lapsed_upstreams_dropped");
    return result;
}

void store_replica::fill_message(neighbour_message& message,
                                 core::time_point now) const
{
    message.has_contents = has_contents();
    message.position = position_;
    message.own_reads = own_reads_;
    message.own_read_age = std::chrono::milliseconds::zero();
    if (own_reads_ != 0)
        message.own_read_age = age_of(last_own_read_, now);
    auto const left_out =
        recent_changes_.size() - std::min(recent_changes_.size(), max_changes);
    auto const since = left_out == 0 ? recent_changes_since_
                                     : recent_changes_[left_out - 1].offset;
    message.changes_since = {position_.configuration, since};
    message.changes.clear();
    for (auto i = left_out; i < recent_changes_.size(); ++i)
        message.changes.push_back(recent_changes_[i].change);
}

std::optional<replica_changes>
store_replica::changes_since(store_position const& since,
                             core::time_point now) const
{
    if (!as_of_ || since.upstreams < recent_changes_since_)
        return std::nullopt;
    replica_changes result;
    if (since.configuration < position_.configuration)
        result.document = document_text_;
    for (auto const& item : recent_changes_)
        if (item.offset > since.upstreams)
            result.upstreams.push_back(item.change);
    result.position = position_;
    result.age = age_of(*as_of_, now);
    return result;
}

replica_snapshot store_replica::snapshot(core::time_point now) const
{
    replica_snapshot result;
    result.document = document_text_;
    result.upstreams = registry_.listing();
    result.lapsed = registry_.lapsed();
    result.lapsed_grace =
        std::chrono::ceil<std::chrono::milliseconds>(registry_.grace_left(now));
    result.position = position_;
    if (as_of_)
        result.age = age_of(*as_of_, now);
    return result;
}

void store_replica::report_fault(routing::upstream_change const& item)
{
    if (!item.fault)
    {
        logged_faults_.erase(item.id);
        return;
    }
    if (entry_ignored_)
        entry_ignored_(*item.fault);
    auto const known = logged_faults_.find(item.id);
    if (known != logged_faults_.end() && known->second == *item.fault)
        return;
    if (logged_faults_.size() >= max_logged_faults)
        logged_faults_.clear();
    logged_faults_.insert_or_assign(item.id, *item.fault);
    core::log_warning(
        "upstream_entry_ignored",
        {{"upstream", item.id.value()}, {"reason", to_string(*item.fault)}});
}

bool store_replica::apply_document(std::string const& text)
{
    core::fault_list faults;
    auto parsed = parse_(text, faults);
    document_rejected_ = !parsed;
    if (!parsed)
    {
        // Keep the current configuration if the new one is invalid.
        for (auto const& fault : faults)
            core::log_error("document_rejected",
                            {{"pointer", fault.pointer},
                             {"value", fault.value},
                             {"allowed", fault.allowed}});
        return false;
    }
    if (document_ && parsed->version <= document_->version)
        return false;
    core::log_info("document_in_force",
                   {{"version", parsed->version},
                    {"before", document_ ? document_->version : 0},
                    {"routes", parsed->routes.size()},
                    {"services", parsed->services.size()},
                    {"organisations", parsed->organisations.size()}});
    log_ignored_organisations(document_.get(), *parsed);
    document_ = std::move(parsed);
    document_text_ = redact_ != nullptr ? redact_(text) : text;
    return true;
}

bool store_replica::apply_changes(
    std::vector<routing::upstream_change> const& changes,
    core::log_offset offset,
    core::time_point now)
{
    bool any_applied = false;
    for (auto const& item : changes)
        if (registry_.apply(item, now))
        {
            log_change(item, registry_.is_lapsed(item.id));
            record_change(item, offset);
            any_applied = true;
        }
    return any_applied;
}

void store_replica::replace_upstreams(
    std::vector<routing::listed_upstream> const& listed,
    core::log_offset offset,
    core::time_point now,
    change& result)
{
    result.upstreams_changed = registry_.replace(listed, now);
    position_.upstreams = offset;
    clear_recent_changes();
}

void store_replica::advance_to(core::time_point as_of, core::time_point now)
{
    if (as_of_ && as_of <= *as_of_)
        return;
    if (as_of_ && registry_.record_list_read(*as_of_, as_of, now))
        core::log_info("store_outage_ended",
                       {{"gap_ms",
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             as_of - *as_of_)
                             .count()},
                        {"upstreams", registry_.listing().size()}});
    as_of_ = as_of;
}

void store_replica::advance_to_read_of(neighbour_message const& message,
                                       core::time_point now)
{
    if (message.own_reads == 0)
        return;
    advance_to(read_times_.update(message.incarnation,
                                  message.own_reads,
                                  now - message.own_read_age),
               now);
}

void store_replica::record_change(routing::upstream_change const& item,
                                  core::log_offset offset)
{
    recent_changes_.push_back({offset, item});
    while (recent_changes_.size() > max_remembered_changes)
    {
        // A neighbour at an earlier position misses the change that is dropped
        // here, and therefore needs a snapshot.
        recent_changes_since_ =
            std::max(recent_changes_since_, recent_changes_.front().offset);
        recent_changes_.pop_front();
    }
}

void store_replica::clear_recent_changes()
{
    recent_changes_.clear();
    recent_changes_since_ = position_.upstreams;
}

} // namespace kumquatloom::hosting
