#ifndef KUMQUATLOOM_HOSTING_STORE_REPLICA_HPP
#define KUMQUATLOOM_HOSTING_STORE_REPLICA_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/fault.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/hosting/store_page.hpp>
#include <kumquatloom/hosting/store_position.hpp>
#include <kumquatloom/membership/read_time_estimator.hpp>
#include <kumquatloom/routing/upstream_change.hpp>
#include <kumquatloom/routing/upstream_registry.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::hosting
{

struct replica_changes;
struct replica_snapshot;
struct neighbour_message;

/// Local copy of the store's contents: the configuration, the listed upstreams,
/// and the time as of which they are known. It is updated from own reads of the
/// store and from neighbours. A configuration is never replaced by an older
/// one. Not thread-safe.
class store_replica
{
public:
    /// Parses a configuration; returns null after a fault.
    using parser = boost::intrusive_ptr<document::document> (*)(
        std::string_view text, core::fault_list& faults);

    /// Returns the text of a configuration without its secrets, from which the
    /// parser creates the same document.
    using redactor = std::string (*)(std::string_view text);

    /// Parts of the contents that an update has changed.
    struct change
    {
        /// Whether another configuration is in force.
        bool document_changed = false;
        /// Whether the list of upstreams differs.
        bool upstreams_changed = false;
    };

    /// Called for each entry of an own read that is ignored.
    using fault_handler = std::function<void(routing::entry_fault)>;

    /// Starts empty. Neighbours get the text of the configuration as `redact`
    /// returns it, or unchanged if that is null.
    explicit store_replica(
        parser parse,
        routing::upstream_registry_settings const& settings = {},
        fault_handler entry_ignored = {},
        redactor redact = nullptr);

    /// Applies the result of an own read of the store that started at `as_of`.
    /// Ignores the parts of which newer contents have been applied since.
    change
    apply(store_page const& page, core::time_point as_of, core::time_point now);

    /// Applies the changes in a neighbour's message. Returns nothing if the
    /// message does not contain all changes since the current position, so that
    /// a snapshot is needed.
    std::optional<change> apply(neighbour_message const& message,
                                core::time_point now);

    /// Applies the parts of a neighbour's snapshot of which the current
    /// contents are not newer. Ignores one without a configuration if there is
    /// one here. `requested_at` is a time before the neighbour
    /// created the snapshot.
    change apply(replica_snapshot const& snapshot,
                 core::time_point requested_at,
                 core::time_point now);

    /// Applies the parts of a neighbour's changes of which the current contents
    /// are not newer. They must begin at the current position or before it.
    change apply(replica_changes const& changes,
                 core::time_point requested_at,
                 core::time_point now);

    /// Drops upstreams that have not renewed their lapsed leases within the
    /// grace period after an outage of the store.
    change expire(core::time_point now);

    /// Fills in the fields of a heartbeat that concern the store.
    void fill_message(neighbour_message& message, core::time_point now) const;

    /// The complete contents, without the addresses of instances.
    replica_snapshot snapshot(core::time_point now) const;

    /// What the contents have in addition to those at an earlier position;
    /// nothing if not all changes since then are remembered.
    std::optional<replica_changes> changes_since(store_position const& since,
                                                 core::time_point now) const;

    /// The configuration in force, or null.
    boost::intrusive_ptr<document::document> const& document() const
    {
        return document_;
    }

    routing::upstream_registry const& upstreams() const
    {
        return registry_;
    }

    /// Time at which the contents were current in the store; nothing while
    /// there are no contents.
    std::optional<core::time_point> as_of() const
    {
        return as_of_;
    }

    /// Whether neighbours may take these contents for those of the store. A
    /// store without a configuration has contents as well, but an instance that
    /// can't read the configuration has none to give.
    bool has_contents() const
    {
        return as_of_ && (document_ || !document_rejected_);
    }

    /// Position in the store up to which the contents are complete.
    store_position const& position() const
    {
        return position_;
    }

private:
    /// A change that is remembered for neighbours that missed it.
    struct recent_change
    {
        /// Offset in the store after the read that returned the change.
        core::log_offset offset = 0;
        routing::upstream_change change;
    };

    void report_fault(routing::upstream_change const& item);
    bool apply_document(std::string const& text);
    bool apply_changes(std::vector<routing::upstream_change> const& changes,
                       core::log_offset offset,
                       core::time_point now);
    void replace_upstreams(std::vector<routing::listed_upstream> const& listed,
                           core::log_offset offset,
                           core::time_point now,
                           change& result);
    void advance_to(core::time_point as_of, core::time_point now);
    void advance_to_read_of(neighbour_message const& message,
                            core::time_point now);
    void record_change(routing::upstream_change const& item,
                       core::log_offset offset);
    void clear_recent_changes();

    parser parse_;
    redactor redact_;
    fault_handler entry_ignored_;
    /// Faults that were logged, by the id of the entry.
    std::map<core::upstream_id, routing::entry_fault> logged_faults_;
    /// The configuration in force, parsed and as sent to neighbours.
    boost::intrusive_ptr<document::document> document_;
    std::string document_text_;
    /// Whether the last configuration was rejected.
    bool document_rejected_ = false;
    /// Listed upstreams.
    routing::upstream_registry registry_;
    /// Position and time of the contents.
    store_position position_;
    std::optional<core::time_point> as_of_;
    /// Number of own reads, and start time of the last one.
    std::uint32_t own_reads_ = 0;
    core::time_point last_own_read_;
    /// Estimated start times of neighbours' reads.
    membership::read_time_estimator read_times_;
    /// The last changes, oldest first, and the offset since which none is
    /// missing.
    std::deque<recent_change> recent_changes_;
    core::log_offset recent_changes_since_ = 0;
};

} // namespace kumquatloom::hosting

#endif
