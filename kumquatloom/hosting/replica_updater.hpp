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

/// Keeps the environment up to date: reads the store when this instance's turn
/// has come, and fetches from neighbours what their messages show to be
/// missing. Belongs to one thread.
class replica_updater
{
public:
    /// Called after each update with what has changed.
    using change_handler = std::function<void(store_replica::change const&)>;
    /// Called with addresses of instances that a neighbour knows.
    using hosts_handler =
        std::function<void(std::vector<std::string> const& hosts)>;

    /// Everything must outlive the reader. `neighbour_port` serves snapshots.
    replica_updater(boost::asio::io_context& context,
                    store_replica& view,
                    any_store const& store,
                    std::uint16_t neighbour_port,
                    membership::read_schedule_settings const& schedule,
                    change_handler changed,
                    hosts_handler hosts_known);

    /// Reads the store if it is this instance's turn.
    void tick(membership::domain_rank const& place, core::time_point now);

    /// Takes over what a neighbour knows, and fetches the rest if there is
    /// more.
    void learned(std::string const& host, neighbour_message const& message);

    /// Whether the last read of the store by this instance failed.
    bool is_failing() const
    {
        return schedule_.is_failing();
    }

    /// Reads of this instance so far, and those that failed.
    std::uint64_t reads() const
    {
        return reads_;
    }
    std::uint64_t failed_reads() const
    {
        return failed_reads_;
    }

private:
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> fetch(settings::endpoint neighbour);
    void ended(page_result const& result, core::time_point began);
    void report(bool reachable, log_service::read_error error);
    void update(store_replica::change const& change);

    /// Runs the reads.
    boost::asio::io_context& context_;
    /// What is kept up to date.
    store_replica& view_;
    /// The store.
    any_store const& store_;
    /// Port of the neighbours' snapshots.
    std::uint16_t neighbour_port_;
    /// See the types.
    change_handler changed_;
    hosts_handler hosts_known_;
    /// When to read.
    membership::read_schedule schedule_;
    /// Whether a read or a fetch is running.
    bool reading_ = false;
    bool fetching_ = false;
    /// Whether the store answered at the last read.
    bool reachable_ = true;
    /// Whether records were lost, so that everything has to be read.
    bool history_lost_ = true;
    /// See the accessors.
    std::uint64_t reads_ = 0;
    std::uint64_t failed_reads_ = 0;
};

} // namespace kumquatloom::hosting

#endif
