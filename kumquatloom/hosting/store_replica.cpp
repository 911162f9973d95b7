#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/replica_snapshot.hpp>
#include <kumquatloom/hosting/store_replica.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::hosting
{

namespace
{

/// Age in whole milliseconds, rounded up: knowledge must not look fresher.
std::chrono::milliseconds age_of(core::time_point as_of, core::time_point now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(now - as_of);
}

void log_change(routing::upstream_change const& change)
{
    if (!change.entry)
    {
        core::log_info("upstream_removed", {{"upstream", change.id.value()}});
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

store_replica::store_replica(parser parse)
    : parse_(parse)
    , registry_({})
{
}

store_replica::change store_replica::apply(store_page const& page,
                                           core::time_point as_of,
                                           core::time_point now)
{
    change result;
    // A neighbour's message may have overtaken the read.
    if (page.next.upstreams < position_.upstreams ||
        page.next.documents < position_.documents)
        return result;
    ++own_reads_;
    own_read_at_ = as_of;
    know(as_of, now);
    if (page.document)
        result.document = adopt(*page.document);
    if (page.is_complete)
    {
        std::vector<routing::listed_upstream> whole;
        for (auto const& item : page.upstreams)
            if (item.entry)
                whole.push_back(*item.entry);
        result.listing = registry_.replace(whole, now);
        position_ = page.next;
        forget_changes();
    }
    else
        result.listing =
            apply_changes(page.upstreams, page.next.upstreams, now);
    position_ = page.next;
    return result;
}

std::optional<store_replica::change>
store_replica::apply(neighbour_message const& message, core::time_point now)
{
    change result;
    if (!message.knows)
        return result;
    bool const behind = !as_of_ ||
                        position_.documents < message.position.documents ||
                        position_.upstreams < message.changes_from.upstreams;
    bool const newer = position_.upstreams < message.position.upstreams;
    if (behind &&
        (newer || !as_of_ || position_.documents < message.position.documents))
        return std::nullopt;
    // The neighbour may know less; then its reading proves nothing here.
    if (message.position.documents < position_.documents ||
        message.position.upstreams < position_.upstreams)
        return result;
    know_read_of(message, now);
    if (newer)
    {
        result.listing =
            apply_changes(message.changes, message.position.upstreams, now);
        position_ = message.position;
    }
    return result;
}

store_replica::change store_replica::apply(replica_snapshot const& snapshot,
                                           core::time_point told,
                                           core::time_point now)
{
    change result;
    if (snapshot.document.empty() ||
        (as_of_ && (snapshot.position.documents < position_.documents ||
                    snapshot.position.upstreams < position_.upstreams)))
        return result;
    know(told - snapshot.age, now);
    result.document = adopt(snapshot.document);
    result.listing = registry_.replace(snapshot.upstreams, now);
    position_ = snapshot.position;
    forget_changes();
    return result;
}

store_replica::change store_replica::expire(core::time_point now)
{
    change result;
    result.listing = registry_.expire(now);
    if (result.listing)
        core::log_info("lapsed_upstreams_dropped");
    return result;
}

void store_replica::describe(neighbour_message& message,
                             core::time_point now) const
{
    message.knows = as_of_.has_value() && document_;
    message.position = position_;
    message.own_reads = own_reads_;
    message.own_read_age = std::chrono::milliseconds::zero();
    if (own_reads_ != 0)
        message.own_read_age = age_of(own_read_at_, now);
    message.changes_from = {position_.documents, recent_from_};
    message.changes.clear();
    for (auto const& item : recent_)
        message.changes.push_back(item.change);
}

replica_snapshot store_replica::snapshot(core::time_point now) const
{
    replica_snapshot result;
    result.document = text_;
    result.upstreams = registry_.listing();
    result.position = position_;
    if (as_of_)
        result.age = age_of(*as_of_, now);
    return result;
}

bool store_replica::adopt(std::string const& text)
{
    core::fault_list faults;
    auto next = parse_(text, faults);
    if (!next)
    {
        // The one in force holds until a configuration can be read.
        for (auto const& fault : faults)
            core::log_error("document_rejected",
                            {{"pointer", fault.pointer},
                             {"value", fault.value},
                             {"allowed", fault.allowed}});
        return false;
    }
    if (document_ && next->version <= document_->version)
        return false;
    core::log_info("document_in_force",
                   {{"version", next->version},
                    {"before", document_ ? document_->version : 0},
                    {"routes", next->routes.size()},
                    {"services", next->services.size()}});
    document_ = std::move(next);
    text_ = text;
    return true;
}

bool store_replica::apply_changes(
    std::vector<routing::upstream_change> const& changes,
    core::log_offset up_to,
    core::time_point now)
{
    bool matters = false;
    for (auto const& item : changes)
        if (registry_.apply(item, now))
        {
            log_change(item);
            remember(item, up_to);
            matters = true;
        }
    return matters;
}

void store_replica::know(core::time_point as_of, core::time_point now)
{
    if (as_of_ && as_of <= *as_of_)
        return;
    if (as_of_)
        registry_.record_list_read(*as_of_, now);
    as_of_ = as_of;
}

void store_replica::know_read_of(neighbour_message const& message,
                                 core::time_point now)
{
    if (message.own_reads == 0)
        return;
    know(heard_reads_.hear(message.incarnation,
                           message.own_reads,
                           now - message.own_read_age),
         now);
}

void store_replica::remember(routing::upstream_change const& item,
                             core::log_offset up_to)
{
    recent_.push_back({up_to, item});
    while (recent_.size() > max_changes)
    {
        // Who knows less than this has missed a change that is dropped now.
        recent_from_ = std::max(recent_from_, recent_.front().up_to);
        recent_.pop_front();
    }
}

void store_replica::forget_changes()
{
    recent_.clear();
    recent_from_ = position_.upstreams;
}

} // namespace kumquatloom::hosting
