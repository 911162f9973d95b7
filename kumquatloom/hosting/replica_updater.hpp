#ifndef KUMQUATLOOM_HOSTING_REPLICA_UPDATER_HPP
#define KUMQUATLOOM_HOSTING_REPLICA_UPDATER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/hosting/any_store.hpp>
#include <kumquatloom/hosting/store_replica.hpp>
#include <kumquatloom/membership/read_schedule.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace kumquatloom::hosting
{

/// Keeps the local copy of the store up to date. Reads the store when the read
/// schedule says so, and fetches a snapshot from a neighbour whose message
/// shows that changes were missed. Not thread-safe.
class replica_updater
{
public:
    /// Called after each update that changed something.
    using change_handler = std::function<void(store_replica::change const&)>;
    /// Called with the addresses of instances listed in a snapshot.
    using address_handler =
        std::function<void(std::vector<std::string> const& hosts)>;

    /// `context`, `replica` and `store` must outlive the updater. Neighbours
    /// serve snapshots on `neighbour_port`.
    replica_updater(boost::asio::io_context& context,
                    store_replica& replica,
                    any_store const& store,
                    std::uint16_t neighbour_port,
                    membership::read_schedule_settings const& schedule,
                    change_handler replica_changed,
                    address_handler addresses_received);

    /// Expires lapsed upstreams, and starts a read of the store if one is due
    /// for an instance with the given rank.
    void tick(membership::domain_rank const& own_rank, core::time_point now);

    /// Applies a neighbour's message, and fetches the changes or a snapshot if
    /// it lacks some.
    void apply_message(std::string const& host,
                       neighbour_message const& message);

    /// Whether the last read of the store by this instance failed.
    bool is_failing() const
    {
        return schedule_.is_failing();
    }

    /// Number of own reads of the store, and of those that failed.
    std::uint64_t reads() const
    {
        return reads_;
    }
    std::uint64_t failed_reads() const
    {
        return failed_reads_;
    }

private:
    boost::asio::awaitable<void> read_store();
    boost::asio::awaitable<void> fetch_contents(settings::endpoint neighbour);
    /// Returns false if the neighbour can't serve the changes, and a snapshot
    /// is needed instead.
    boost::asio::awaitable<bool> fetch_changes(settings::endpoint neighbour);
    boost::asio::awaitable<void> fetch_snapshot(settings::endpoint neighbour);
    void contents_received(store_replica::change const& change);
    void read_ended(page_result const& result, core::time_point started_at);
    void log_reachability(bool reachable, log_service::read_error error);
    void notify(store_replica::change const& change);

    boost::asio::io_context& context_;
    store_replica& replica_;
    any_store const& store_;
    /// Port on which neighbours serve snapshots.
    std::uint16_t neighbour_port_;
    change_handler replica_changed_;
    address_handler addresses_received_;
    membership::read_schedule schedule_;
    /// Whether a read of the store or a fetch from a neighbour is in progress.
    bool read_running_ = false;
    bool fetch_running_ = false;
    /// Whether the last read succeeded.
    bool store_reachable_ = true;
    /// Whether the next read must be a complete one: before the first read, and
    /// after the store has dropped records that were not read yet.
    bool history_lost_ = true;
    std::uint64_t reads_ = 0;
    std::uint64_t failed_reads_ = 0;
};

} // namespace kumquatloom::hosting

#endif
