#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <soak/fault_injector.hpp>
#include <soak/soak_instance.hpp>
#include <soak/soak_platform.hpp>

namespace kumquatloom::soak
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;
using stand_ins::store_behaviour;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Bounds of the delay that a slow link adds in each direction. The range
/// covers round trips below and above the shortest timeout of a caller.
constexpr auto min_delay = 20ms;
constexpr auto max_delay = 700ms;
/// Pause between two instances of a rolling restart, and between two changes
/// of a configuration storm.
constexpr auto roll_pause = 400ms;
constexpr auto storm_pause = 150ms;
/// Fraction of the requests that an upstream's fault affects.
constexpr double faulty_share = 0.6;
/// A fault of many upstreams affects one in this number.
constexpr std::size_t one_faulty_upstream_in = 3;

} // namespace

fault_injector::fault_injector(
    asio::io_context& context,
    soak_platform& platform,
    std::vector<std::unique_ptr<soak_instance>>& instances)
    : context_(context)
    , platform_(platform)
    , instances_(instances)
{
}

asio::awaitable<void> fault_injector::inject(planned_fault fault)
{
    random_source random(fault.seed);
    switch (fault.kind)
    {
    case fault_kind::caller_link:
    case fault_kind::store_link:
    case fault_kind::upstream_link:
        co_await inject_link_fault(
            pick_link(fault.kind, random), fault, random);
        break;
    case fault_kind::store_down:
        co_await inject_store_fault(store_behaviour::down, fault);
        break;
    case fault_kind::store_refusing:
        co_await inject_store_fault(store_behaviour::refusing, fault);
        break;
    case fault_kind::store_silent:
        co_await inject_store_fault(store_behaviour::silent, fault);
        break;
    case fault_kind::store_slow:
        co_await inject_store_fault(store_behaviour::slow, fault);
        break;
    case fault_kind::store_losing:
        co_await inject_store_fault(store_behaviour::losing, fault);
        break;
    case fault_kind::store_forgets:
        platform_.clear_store_history();
        break;
    case fault_kind::store_lapse:
        co_await inject_store_fault(store_behaviour::down, fault);
        platform_.drop_live_entries();
        break;
    case fault_kind::move_route:
    case fault_kind::add_route:
    case fault_kind::remove_route:
    case fault_kind::configuration_storm:
        co_await change_routes(fault, random);
        break;
    case fault_kind::upstream_sick:
    case fault_kind::upstreams_sick:
    case fault_kind::upstream_crash:
    case fault_kind::upstream_leave:
    case fault_kind::upstream_reuse:
        co_await inject_upstream_fault(fault, random);
        break;
    case fault_kind::pause_instance:
    case fault_kind::pause_then_leave:
        co_await pause_instance(fault, random);
        break;
    default:
        co_await signal_instances(fault, random);
        break;
    }
}

asio::awaitable<void> fault_injector::signal_instances(planned_fault fault,
                                                       random_source& random)
{
    auto& process = instances_.at(random.below(instances_.size()))->process();
    switch (fault.kind)
    {
    case fault_kind::leave_instance:
        process.signal(SIGTERM);
        break;
    case fault_kind::kill_instance:
        process.signal(SIGKILL);
        break;
    case fault_kind::reload_instance:
        process.signal(SIGHUP);
        break;
    case fault_kind::leave_then_kill:
        process.signal(SIGTERM);
        co_await sleep_for(fault.duration);
        process.signal(SIGKILL);
        break;
    case fault_kind::roll_instances:
        for (auto const& instance : instances_)
        {
            instance->process().signal(SIGTERM);
            co_await sleep_for(roll_pause);
        }
        break;
    default:
        for (auto const& instance : instances_)
            instance->process().signal(SIGKILL);
        break;
    }
}

asio::awaitable<void> fault_injector::pause_instance(planned_fault fault,
                                                     random_source& random)
{
    auto& process = instances_.at(random.below(instances_.size()))->process();
    process.signal(SIGSTOP);
    co_await sleep_for(fault.duration / 2);
    // A stopped process receives the signal when it is resumed.
    if (fault.kind == fault_kind::pause_then_leave)
        process.signal(SIGTERM);
    co_await sleep_for(fault.duration / 2);
    process.signal(SIGCONT);
}

asio::awaitable<void> fault_injector::inject_link_fault(loopback_proxy& link,
                                                        planned_fault fault,
                                                        random_source& random)
{
    link_fault injected;
    switch (random.below(7))
    {
    case 0:
        injected.delay = random.between(min_delay, max_delay);
        break;
    case 1:
        injected.stalls_to_server = true;
        break;
    case 2:
        injected.stalls_to_client = true;
        break;
    case 3:
        injected.stalls_to_server = injected.stalls_to_client = true;
        break;
    case 4:
        injected.refuses = true;
        link.reset_connections();
        break;
    case 5:
        link.reset_connections();
        co_return;
    default:
        link.stall_connections();
        co_return;
    }
    link.apply_fault(injected);
    co_await sleep_for(fault.duration);
    link.apply_fault({});
}

asio::awaitable<void> fault_injector::inject_store_fault(store_behaviour next,
                                                         planned_fault fault)
{
    platform_.change_store_behaviour(next);
    co_await sleep_for(fault.duration);
    platform_.change_store_behaviour(store_behaviour::normal);
}

asio::awaitable<void>
fault_injector::inject_upstream_fault(planned_fault fault,
                                      random_source& random)
{
    auto& upstreams = platform_.upstreams();
    auto const index = random.below(upstreams.size());
    auto const seed = random.fork();
    if (fault.kind == fault_kind::upstream_crash)
        co_return co_await platform_.crash(index, seed);
    if (fault.kind == fault_kind::upstream_leave)
        co_return co_await platform_.leave(index, seed);
    if (fault.kind == fault_kind::upstream_reuse)
        co_return co_await platform_.swap_addresses(seed);
    auto const kind = static_cast<upstream_fault>(
        1 + random.below(static_cast<std::size_t>(upstream_fault::count) - 1));
    auto const is_affected = [&](std::size_t i)
    {
        return i == index ||
               (fault.kind == fault_kind::upstreams_sick &&
                i % one_faulty_upstream_in == index % one_faulty_upstream_in);
    };
    for (std::size_t i = 0; i < upstreams.size(); ++i)
        if (is_affected(i))
            upstreams.at(i).upstream->apply_fault(kind, faulty_share);
    co_await sleep_for(fault.duration);
    for (std::size_t i = 0; i < upstreams.size(); ++i)
        if (is_affected(i))
            upstreams.at(i).upstream->apply_fault(upstream_fault::none, 0);
}

asio::awaitable<void> fault_injector::change_routes(planned_fault fault,
                                                    random_source& random)
{
    constexpr std::size_t storm_changes = 6;
    bool const is_storm = fault.kind == fault_kind::configuration_storm;
    for (std::size_t i = 0; i < (is_storm ? storm_changes : 1); ++i)
    {
        // A storm draws the kind of each change. Otherwise 3, which matches no
        // change, leaves the choice to the kind of the fault.
        auto const variant = is_storm ? random.below(3) : 3;
        if (fault.kind == fault_kind::move_route || variant == 0)
            platform_.move_route(random);
        else if (fault.kind == fault_kind::add_route || variant == 1)
            platform_.add_route(random);
        else
            platform_.remove_route(random);
        co_await sleep_for(storm_pause);
    }
}

loopback_proxy& fault_injector::pick_link(fault_kind kind,
                                          random_source& random)
{
    if (kind == fault_kind::upstream_link)
    {
        auto& upstreams = platform_.upstreams();
        return *upstreams.at(random.below(upstreams.size())).link;
    }
    auto& instance = *instances_.at(random.below(instances_.size()));
    return kind == fault_kind::caller_link ? instance.callers()
                                           : instance.store();
}

asio::awaitable<void> fault_injector::sleep_for(std::chrono::milliseconds time)
{
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(as_result);
}

} // namespace kumquatloom::soak
