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
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::hosting
{

struct replica_snapshot;
struct neighbour_message;

/// What an instance knows of its environment: the configuration and the
/// upstreams, from the store or from neighbours, and how old that is. A
/// configuration is never replaced by an older one. Belongs to one thread.
class store_replica
{
public:
    /// Translates a configuration; null after a fault.
    using parser = boost::intrusive_ptr<document::document> (*)(
        std::string_view text, core::fault_list& faults);

    /// What an update has changed.
    struct change
    {
        /// The configuration in force is another one.
        bool document = false;
        /// The upstreams to use are others.
        bool listing = false;
    };

    /// Starts without any knowledge.
    explicit store_replica(parser parse);

    /// Takes over what an own read of the store has brought that began at
    /// `as_of`.
    change
    apply(store_page const& page, core::time_point as_of, core::time_point now);

    /// Takes over what a neighbour says, if it follows what is known. Returns
    /// nothing if everything has to be fetched from the neighbour.
    std::optional<change> apply(neighbour_message const& message,
                                core::time_point now);

    /// Takes over everything that a neighbour knew at `told` or later, unless
    /// that is older.
    change apply(replica_snapshot const& snapshot,
                 core::time_point told,
                 core::time_point now);

    /// Moves on with time.
    change expire(core::time_point now);

    /// Fills in what neighbours are told.
    void describe(neighbour_message& message, core::time_point now) const;

    /// Everything that is known.
    replica_snapshot snapshot(core::time_point now) const;

    /// The configuration in force, or null.
    boost::intrusive_ptr<document::document> const& document() const
    {
        return document_;
    }

    /// The upstreams that are listed.
    routing::upstream_registry const& upstreams() const
    {
        return registry_;
    }

    /// When the store was read; nothing before the first time.
    std::optional<core::time_point> as_of() const
    {
        return as_of_;
    }

    /// Up to where the store was read.
    store_position const& position() const
    {
        return position_;
    }

private:
    /// A change that neighbours may have missed.
    struct recent_change
    {
        /// Up to where the store was read with it.
        core::log_offset up_to = 0;
        /// The change.
        routing::upstream_change change;
    };

    bool adopt(std::string const& text);
    bool apply_changes(std::vector<routing::upstream_change> const& changes,
                       core::log_offset up_to,
                       core::time_point now);
    void know(core::time_point as_of, core::time_point now);
    void know_read_of(neighbour_message const& message, core::time_point now);
    void remember(routing::upstream_change const& item, core::log_offset up_to);
    void forget_changes();

    /// Translates configurations.
    parser parse_;
    /// The configuration in force, and as the store holds it.
    boost::intrusive_ptr<document::document> document_;
    std::string text_;
    /// The upstreams.
    routing::upstream_registry registry_;
    /// Up to where the store was read, and when.
    store_position position_;
    std::optional<core::time_point> as_of_;
    /// Reads of this instance, and when the last one began.
    std::uint32_t own_reads_ = 0;
    core::time_point own_read_at_;
    /// Reads of the neighbours.
    membership::read_time_estimator heard_reads_;
    /// The last changes, the oldest first, and the offset from which they are
    /// all there.
    std::deque<recent_change> recent_;
    core::log_offset recent_from_ = 0;
};

} // namespace kumquatloom::hosting

#endif
