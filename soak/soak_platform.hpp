#ifndef KUMQUATLOOM_SOAK_SOAK_PLATFORM_HPP
#define KUMQUATLOOM_SOAK_SOAK_PLATFORM_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <soak/configuration_history.hpp>
#include <soak/loopback_proxy.hpp>
#include <soak/random_source.hpp>
#include <soak/soak_settings.hpp>
#include <soak/soak_upstream.hpp>
#include <soak/trouble_clock.hpp>
#include <stand_ins/platform_store_stand_in.hpp>
#include <string>
#include <vector>

namespace kumquatloom::soak
{

/// The platform of a soak: the store, the operator who writes configurations,
/// and the upstreams with their entries.
class soak_platform
{
public:
    /// A route of the configuration.
    struct route
    {
        /// Whether its requests may run more than once.
        bool is_safe = false;
        /// Services and their weights.
        std::map<std::string, unsigned> services;
    };

    /// An upstream, the link to it, and its entry.
    struct upstream_place
    {
        std::unique_ptr<soak_upstream> upstream;
        std::unique_ptr<loopback_proxy> link;
        /// Whether the entry is in the store, and whether it is renewed.
        bool is_listed = false;
        bool renews = true;
        bool is_draining = false;
        /// Number and time of the last renewal.
        unsigned sequence = 0;
        core::time_point renewed;
    };

    /// Starts the store, the upstreams and the first configuration.
    soak_platform(boost::asio::io_context& context,
                  soak_settings const& settings,
                  request_ledger& ledger,
                  soak_upstream::checks checks);

    /// The address of the store.
    settings::endpoint store_address() const
    {
        return store_.local_endpoint();
    }

    /// Changes how the store behaves.
    void store_behaves(stand_ins::store_behaviour next);

    /// The store drops its history.
    void store_forgets();

    /// Entries vanish although their upstreams live; they come back with the
    /// next renewal.
    void entries_lapse();

    /// When the store was in trouble.
    trouble_clock const& store_trouble() const
    {
        return store_trouble_;
    }

    /// All configurations so far.
    configuration_history const& history() const
    {
        return history_;
    }

    /// The routes in force.
    std::map<std::string, route> const& routes() const
    {
        return routes_;
    }

    /// Changes the configuration.
    void move_route(random_source& random);
    void add_route(random_source& random);
    void remove_route(random_source& random);

    /// The upstreams.
    std::vector<upstream_place>& upstreams()
    {
        return upstreams_;
    }

    /// The upstream crashes and starts again, mostly under its old name.
    boost::asio::awaitable<void> crash(std::size_t place, std::uint64_t draw);

    /// The upstream drains and ends; another one takes its place.
    boost::asio::awaitable<void> leave(std::size_t place, std::uint64_t draw);

    /// Two upstreams of different services end, and each one's address goes to
    /// the other service.
    boost::asio::awaitable<void> swap_addresses(std::uint64_t draw);

    /// Renews entries for ever.
    boost::asio::awaitable<void> renew_entries();

private:
    bool store_works() const;
    void start_upstream(std::size_t place,
                        std::string const& id,
                        std::string const& service);
    void write_entry(upstream_place& place);
    void drop_entry(upstream_place& place);
    void drop_old_entries(core::time_point now);
    void publish_routes();
    boost::asio::awaitable<void> pause(core::duration time);
    std::string fresh_id();

    /// Runs everything.
    boost::asio::io_context& context_;
    /// Sizes and names.
    soak_settings settings_;
    /// What callers have sent.
    request_ledger& ledger_;
    /// What upstreams check.
    soak_upstream::checks checks_;
    /// Seeds the upstreams.
    random_source random_;
    /// The store.
    stand_ins::platform_store_stand_in store_;
    stand_ins::store_behaviour store_behaviour_ =
        stand_ins::store_behaviour::normal;
    trouble_clock store_trouble_;
    /// The configuration.
    std::map<std::string, route> routes_;
    unsigned version_ = 0;
    unsigned added_routes_ = 0;
    configuration_history history_;
    /// The upstreams; those that have ended stay for their coroutines.
    std::vector<upstream_place> upstreams_;
    std::vector<std::unique_ptr<soak_upstream>> ended_;
    /// Entries of upstreams that are gone, and when they were last renewed.
    std::map<std::string, core::time_point> orphans_;
    unsigned ids_ = 0;
};

} // namespace kumquatloom::soak

#endif
