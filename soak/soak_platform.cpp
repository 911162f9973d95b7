#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <soak/soak_instance.hpp>
#include <soak/soak_platform.hpp>
#include <utility>

namespace kumquatloom::soak
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;
using stand_ins::store_behaviour;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Third octets of the IP addresses, by their use.
constexpr unsigned upstream_group = 4;
constexpr unsigned link_group = 5;
constexpr unsigned store_group = 6;
/// Times of the platform: renewal interval and lifetime of an entry, delay
/// until an address is reused, and the least time for which a draining upstream
/// keeps serving.
constexpr auto renewal_interval = 1500ms;
constexpr auto entry_lifetime = 4500ms;
constexpr auto address_reuse_delay = 2000ms;
constexpr auto drain_service_time = 2000ms;
constexpr auto poll_interval = 100ms;
/// Time without disturbances after which the store counts as stable.
constexpr auto stable_window = 3000ms;
/// Bounds of the time until a crashed upstream restarts.
constexpr auto min_restart_delay = 300ms;
constexpr auto max_restart_delay = 3000ms;
/// Maximum time for which a draining upstream keeps serving beyond
/// drain_service_time.
constexpr auto longest_extra_drain = 2500ms;
/// Names of the services.
constexpr char const* shop = "shop";
constexpr char const* pay = "pay";
/// Topics and keys in the platform's store.
constexpr char const* servers_topic = "keyed.servers";
constexpr char const* operator_topic = "keyed.op";
constexpr char const* configuration_key = "config";

std::string other_service(std::string const& service)
{
    return service == shop ? pay : shop;
}

} // namespace

soak_platform::soak_platform(asio::io_context& context,
                             soak_settings const& settings,
                             request_ledger& ledger,
                             soak_upstream::checks checks)
    : context_(context)
    , settings_(settings)
    , ledger_(ledger)
    , checks_(std::move(checks))
    , random_(settings.seed + 1)
    , store_(context, {host_in(settings, store_group, 0), 0})
    , routes_{{"/read/", {true, {{shop, 1}}}},
              {"/order/", {false, {{shop, 1}}}},
              {"/pay/", {false, {{pay, 1}}}},
              {"/look/", {true, {{shop, 1}, {pay, 1}}}}}
    , upstreams_(2 * settings.upstreams_per_service)
{
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
        start_upstream(i, next_id(), i % 2 == 0 ? shop : pay);
    publish_routes();
}

void soak_platform::change_store_behaviour(store_behaviour next)
{
    bool const was_normal = store_behaviour_ == store_behaviour::normal;
    bool const is_normal = next == store_behaviour::normal;
    if (was_normal && !is_normal)
        store_disturbance_.begin();
    if (!was_normal && is_normal)
        store_disturbance_.end();
    store_behaviour_ = next;
    store_.change_behaviour(next);
}

void soak_platform::clear_store_history()
{
    store_disturbance_.touch();
    store_.clear_history();
}

void soak_platform::drop_live_entries()
{
    store_disturbance_.touch();
    for (auto& item : upstreams_)
        if (item.is_listed && item.is_renewed && !item.is_draining)
            drop_entry(item);
}

void soak_platform::move_route(random_source& random)
{
    if (!is_store_available())
        return;
    auto item = routes_.begin();
    std::advance(item, random.below(routes_.size()));
    auto& services = item->second.services;
    if (random.chance(0.5))
        services = {{shop, 1 + random.below(4)}, {pay, 1 + random.below(4)}};
    else
        services = {{other_service(services.begin()->first), 1}};
    publish_routes();
}

void soak_platform::add_route(random_source& random)
{
    if (!is_store_available())
        return;
    routes_["/added" + std::to_string(++added_routes_) + "/"] = {
        random.chance(0.5), {{random.chance(0.5) ? shop : pay, 1}}};
    publish_routes();
}

void soak_platform::remove_route(random_source& random)
{
    constexpr std::size_t permanent_routes = 4;
    if (!is_store_available() || routes_.size() <= permanent_routes)
        return;
    // Added routes sort before the permanent ones.
    auto item = routes_.begin();
    std::advance(item, random.below(routes_.size() - permanent_routes));
    routes_.erase(item);
    publish_routes();
}

asio::awaitable<void> soak_platform::crash(std::size_t index,
                                           std::uint64_t seed)
{
    random_source random(seed);
    auto& item = upstreams_.at(index);
    if (!item.is_renewed)
        co_return;
    item.is_renewed = false;
    auto const self = item.upstream->self();
    item.upstream->crash();
    co_await pause(random.between(min_restart_delay, max_restart_delay));
    start_upstream(
        index, random.chance(0.7) ? self.id : next_id(), self.service);
}

asio::awaitable<void> soak_platform::leave(std::size_t index,
                                           std::uint64_t seed)
{
    random_source random(seed);
    auto& item = upstreams_.at(index);
    if (!item.is_renewed)
        co_return;
    item.is_renewed = false;
    while (!is_store_available())
        co_await pause(poll_interval);
    // Some upstreams announce the draining state, others only remove their
    // entry.
    item.is_draining = random.chance(0.7);
    if (item.is_draining)
        write_entry(item);
    else
        drop_entry(item);
    if (store_disturbance_.stable_since(core::clock::now() - stable_window))
        item.upstream->leaving_since = core::clock::now();
    co_await pause(drain_service_time +
                   random.between(0ms, longest_extra_drain));
    auto const service = item.upstream->self().service;
    item.upstream->crash();
    drop_entry(item);
    co_await pause(address_reuse_delay);
    start_upstream(index, next_id(), service);
}

asio::awaitable<void> soak_platform::swap_addresses(std::uint64_t seed)
{
    random_source random(seed);
    auto const first_index = 2 * random.below(settings_.upstreams_per_service);
    auto const second_index =
        2 * random.below(settings_.upstreams_per_service) + 1;
    auto& first = upstreams_.at(first_index);
    auto& second = upstreams_.at(second_index);
    if (!first.is_renewed || !second.is_renewed)
        co_return;
    for (auto* const item : {&first, &second})
    {
        item->is_renewed = false;
        item->upstream->crash();
    }
    auto const service = first.upstream->self().service;
    co_await pause(address_reuse_delay +
                   random.between(0ms, address_reuse_delay));
    start_upstream(first_index, next_id(), second.upstream->self().service);
    start_upstream(second_index, next_id(), service);
}

asio::awaitable<void> soak_platform::renew_entries()
{
    while (true)
    {
        auto const now = core::clock::now();
        if (is_store_available())
        {
            for (auto& item : upstreams_)
                if (item.is_renewed &&
                    (now - item.renewed >= renewal_interval || !item.is_listed))
                    write_entry(item);
            drop_expired_entries(now);
        }
        co_await pause(poll_interval);
    }
}

bool soak_platform::is_store_available() const
{
    return store_behaviour_ == store_behaviour::normal ||
           store_behaviour_ == store_behaviour::slow;
}

void soak_platform::start_upstream(std::size_t index,
                                   std::string const& id,
                                   std::string const& service)
{
    auto& item = upstreams_.at(index);
    if (item.upstream)
    {
        if (item.is_listed && item.upstream->self().id != id)
            orphaned_entries_[item.upstream->self().id] = item.renewed;
        stopped_upstreams_.push_back(std::move(item.upstream));
    }
    long const born = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    item.upstream = std::make_unique<soak_upstream>(
        context_,
        soak_upstream::identity{id, service, domain_of(index / 2), born},
        host_in(settings_, upstream_group, index),
        ledger_,
        random_.fork(),
        checks_);
    if (item.link)
        item.link->retarget(item.upstream->address());
    else
        item.link = std::make_unique<loopback_proxy>(
            context_,
            settings::endpoint{host_in(settings_, link_group, index), 0},
            item.upstream->address());
    item.is_draining = false;
    item.is_renewed = true;
    item.sequence = 0;
    if (is_store_available())
        write_entry(item);
    else
        item.is_listed = false;
}

void soak_platform::write_entry(managed_upstream& item)
{
    auto const& self = item.upstream->self();
    json::object const entry{{"service", self.service},
                             {"address", to_string(item.link->address())},
                             {"zone", self.domain},
                             {"version", "1"},
                             {"slots", 4},
                             {"state", item.is_draining ? "draining" : "ready"},
                             {"warmupLeftS", 0},
                             {"born", self.born},
                             {"seq", ++item.sequence}};
    store_.put(servers_topic, self.id, json::serialize(entry));
    item.is_listed = true;
    item.renewed = core::clock::now();
}

void soak_platform::drop_entry(managed_upstream& item)
{
    store_.put(servers_topic, item.upstream->self().id, "");
    item.is_listed = false;
}

void soak_platform::drop_expired_entries(core::time_point now)
{
    for (auto& item : upstreams_)
        if (!item.is_renewed && !item.is_draining && item.is_listed &&
            now - item.renewed >= entry_lifetime)
            drop_entry(item);
    std::erase_if(orphaned_entries_,
                  [&](auto const& item)
                  {
                      bool const lapses = now - item.second >= entry_lifetime;
                      if (lapses)
                          store_.put(servers_topic, item.first, "");
                      return lapses;
                  });
}

void soak_platform::publish_routes()
{
    json::array rows;
    route_targets targets;
    for (auto const& [prefix, item] : routes_)
    {
        json::array split;
        for (auto const& [service, weight] : item.services)
        {
            split.push_back(
                json::object{{"service", service}, {"weight", weight}});
            targets[prefix].insert(service);
        }
        bool const is_split = split.size() > 1;
        json::value const service =
            is_split ? json::value(nullptr)
                     : json::value(item.services.begin()->first);
        rows.push_back(
            json::array{prefix,
                        "shop.example",
                        prefix,
                        item.is_safe ? "safe" : "unsafe",
                        3,
                        1,
                        1,
                        is_split ? json::value(split) : json::value(nullptr),
                        2,
                        service});
    }
    version_ += 3;
    json::object const configuration{
        {"version", version_},
        {"routes",
         json::object{{"columns",
                       json::array{"name",
                                   "host",
                                   "pathPrefix",
                                   "kind",
                                   "timeoutS",
                                   "targetLatencyS",
                                   "priority",
                                   "split",
                                   "maxAttempts",
                                   "service"}},
                      {"rows", rows}}},
        {"services",
         json::object{
             {"columns", json::array{"name"}},
             {"rows", json::array{json::array{shop}, json::array{pay}}}}},
        {"limits",
         json::object{{"maxHeaderBytes", 16384},
                      {"maxBodyBytes", 1048576},
                      {"headerTimeoutS", 3},
                      {"idleTimeoutS", 5}}}};
    store_.put(
        operator_topic, configuration_key, json::serialize(configuration));
    history_.acknowledged(std::move(targets), core::clock::now());
}

asio::awaitable<void> soak_platform::pause(core::duration time)
{
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(as_result);
}

std::string soak_platform::next_id()
{
    return "i-" + std::to_string(++ids_);
}

} // namespace kumquatloom::soak
