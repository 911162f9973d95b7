#ifndef KUMQUATLOOM_SOAK_SOAK_PLATFORM_HPP
#define KUMQUATLOOM_SOAK_SOAK_PLATFORM_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <soak/configuration_history.hpp>
#include <soak/disturbance_clock.hpp>
#include <soak/loopback_proxy.hpp>
#include <soak/random_source.hpp>
#include <soak/soak_settings.hpp>
#include <soak/soak_upstream.hpp>
#include <stand_ins/platform_store_stand_in.hpp>
#include <string>
#include <vector>

namespace kumquatloom::soak
{

/// The simulated platform of a soak: the store, the operator's configurations,
/// and the upstreams with their entries in the store.
class soak_platform
{
public:
    /// A route of a configuration.
    struct route
    {
        /// Whether its requests may be executed more than once.
        bool is_safe = false;
        /// Weights by service.
        std::map<std::string, unsigned> services;
    };

    /// An upstream, the relay in front of it, and the state of its entry in the
    /// store.
    struct managed_upstream
    {
        std::unique_ptr<soak_upstream> upstream;
        std::unique_ptr<loopback_proxy> link;
        /// Whether the entry is in the store, and whether it is renewed.
        bool is_listed = false;
        bool is_renewed = true;
        bool is_draining = false;
        /// Sequence number and time of the last renewal.
        unsigned sequence = 0;
        core::time_point renewed;
    };

    /// Starts the store, the upstreams and the first configuration.
    soak_platform(boost::asio::io_context& context,
                  soak_settings const& settings,
                  request_ledger& ledger,
                  soak_upstream::checks checks);

    /// Address of the store.
    settings::endpoint store_address() const
    {
        return store_.local_endpoint();
    }

    /// Sets the behaviour of the store.
    void change_store_behaviour(stand_ins::store_behaviour next);

    /// Makes the store drop its history.
    void clear_store_history();

    /// Removes the entries of running upstreams; the next renewal writes them
    /// again.
    void drop_live_entries();

    /// When faults disturbed the store.
    disturbance_clock const& store_disturbance() const
    {
        return store_disturbance_;
    }

    /// All acknowledged configurations.
    configuration_history const& history() const
    {
        return history_;
    }

    /// Routes of the current configuration.
    std::map<std::string, route> const& routes() const
    {
        return routes_;
    }

    /// Publishes a configuration with one changed, added or removed route.
    void move_route(random_source& random);
    void add_route(random_source& random);
    void remove_route(random_source& random);

    /// All upstreams.
    std::vector<managed_upstream>& upstreams()
    {
        return upstreams_;
    }

    /// Crashes an upstream and restarts it, in most cases with the same id.
    boost::asio::awaitable<void> crash(std::size_t index, std::uint64_t seed);

    /// Drains and stops an upstream; one with a new id replaces it.
    boost::asio::awaitable<void> leave(std::size_t index, std::uint64_t seed);

    /// Stops two upstreams of different services and starts new ones with
    /// exchanged addresses. After an earlier swap, both may have the same
    /// service.
    boost::asio::awaitable<void> swap_addresses(std::uint64_t seed);

    /// Renews and expires entries until the end of the soak.
    boost::asio::awaitable<void> renew_entries();

private:
    bool is_store_available() const;
    void start_upstream(std::size_t index,
                        std::string const& id,
                        std::string const& service);
    void write_entry(managed_upstream& item);
    void drop_entry(managed_upstream& item);
    void drop_expired_entries(core::time_point now);
    void publish_routes();
    boost::asio::awaitable<void> pause(core::duration time);
    std::string next_id();

    /// Runs the coroutines.
    boost::asio::io_context& context_;
    /// Settings of the soak.
    soak_settings settings_;
    /// Records requests for the upstreams.
    request_ledger& ledger_;
    /// Callbacks of the upstreams.
    soak_upstream::checks checks_;
    /// Draws the seeds of the upstreams.
    random_source random_;
    /// The store, its behaviour and its disturbances.
    stand_ins::platform_store_stand_in store_;
    stand_ins::store_behaviour store_behaviour_ =
        stand_ins::store_behaviour::normal;
    disturbance_clock store_disturbance_;
    /// The current and all earlier configurations.
    std::map<std::string, route> routes_;
    unsigned version_ = 0;
    unsigned added_routes_ = 0;
    configuration_history history_;
    /// The upstreams. Stopped ones are kept because their coroutines refer to
    /// them.
    std::vector<managed_upstream> upstreams_;
    std::vector<std::unique_ptr<soak_upstream>> stopped_upstreams_;
    /// Ids of stopped upstreams whose entry is still in the store, with the
    /// time of its last renewal.
    std::map<std::string, core::time_point> orphaned_entries_;
    /// Number of upstream ids assigned so far.
    unsigned ids_ = 0;
};

} // namespace kumquatloom::soak

#endif
