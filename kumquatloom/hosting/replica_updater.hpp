#ifndef KUMQUATLOOM_HOSTING_REPLICA_UPDATER_HPP
#define KUMQUATLOOM_HOSTING_REPLICA_UPDATER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/hosting/any_store.hpp>
#include <kumquatloom/hosting/store_replica.hpp>
#include <kumquatloom/membership/neighbour_table.hpp>
#include <kumquatloom/membership/read_schedule.hpp>
#include <kumquatloom/membership/replica_update.hpp>
#include <kumquatloom/membership/start_schedule.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace kumquatloom::hosting
{

/// Keeps the local copy of the store up to date. Reads the store when the read
/// schedule says so, or the start schedule while there are no contents, and
/// fetches a snapshot from a neighbour whose message shows that changes were
/// missed. Not thread-safe.
class replica_updater
{
public:
    using update_counters = core::counter_family<membership::replica_update>;

    struct hooks
    {
        /// Called after each update that changed something.
        std::function<void(store_replica::change const&)> replica_changed;
        /// Called with the addresses of instances listed in the snapshot of a
        /// neighbour.
        std::function<void(std::vector<std::string> const& hosts)>
            addresses_received;
        /// Called when there are contents for the first time, which may lack a
        /// configuration.
        std::function<void()> contents_available;
    };

    /// The references must outlive the updater. Neighbours serve snapshots on
    /// `neighbour_port`.
    replica_updater(boost::asio::io_context& context,
                    store_replica& replica,
                    any_store const& store,
                    membership::neighbour_table const& neighbours,
                    update_counters& updates,
                    std::uint16_t neighbour_port,
                    membership::read_schedule_settings const& schedule,
                    hooks callbacks);

    /// Records that the list of instances was read. That and the announcement
    /// took `took`.
    void record_list(core::duration took, core::time_point now);

    /// Expires lapsed upstreams, and starts a read of the store if one is due.
    void tick(core::time_point now);

    /// Applies a message of a neighbour or a seed, and fetches the changes or a
    /// snapshot if it lacks some.
    void apply_message(std::string const& host,
                       neighbour_message const& message);

    /// Whether messages from another region are of use: bytes between regions
    /// are paid for.
    bool needs_other_regions(core::time_point now) const;

    /// Whether the contents are recent enough to serve callers, or a read of
    /// the store has shown that no newer ones are available.
    bool may_serve(core::time_point now) const;

private:
    boost::asio::awaitable<void> read_store();
    boost::asio::awaitable<void> fetch_contents(settings::endpoint neighbour);
    /// Returns false if the neighbour can't serve the changes, and a snapshot
    /// is needed instead.
    boost::asio::awaitable<bool> fetch_changes(settings::endpoint neighbour);
    boost::asio::awaitable<void> fetch_snapshot(settings::endpoint neighbour);
    bool is_read_due(core::time_point now);
    void contents_received(store_replica::change const& change);
    void read_ended(page_result const& result, core::time_point started_at);
    void log_reachability(bool reachable, log_service::read_error error);
    void notify(store_replica::change const& change);

    boost::asio::io_context& context_;
    store_replica& replica_;
    any_store const& store_;
    membership::neighbour_table const& neighbours_;
    update_counters& updates_;
    /// Port on which neighbours serve snapshots.
    std::uint16_t neighbour_port_;
    hooks hooks_;
    membership::read_schedule schedule_;
    /// Decides about reads while there are no contents.
    membership::start_schedule start_;
    /// Age from which contents may lack a change that must be in force.
    core::duration max_age_;
    /// Chooses the messages that are followed by a fetch of a snapshot.
    std::minstd_rand random_;
    /// Whether a read of the store or a fetch from a neighbour is in progress.
    bool read_running_ = false;
    bool fetch_running_ = false;
    /// Whether the last read succeeded.
    bool store_reachable_ = true;
    /// Whether the next read must be a complete one: before the first read, and
    /// after the store has dropped records that were not read yet.
    bool history_lost_ = true;
    /// Whether a read of the store has ended, and whether there were contents.
    bool read_ended_ = false;
    bool had_contents_ = false;
};

} // namespace kumquatloom::hosting

#endif
