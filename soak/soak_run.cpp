#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <soak/fault_plan.hpp>
#include <soak/soak_run.hpp>
#include <stand_ins/http_caller.hpp>
#include <utility>

namespace kumquatloom::soak
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Number of failure domains.
constexpr std::size_t domains = 4;
/// Poll interval for exited processes, and the delay before a restart.
constexpr auto poll_interval = 20ms;
constexpr auto restart_delay = 300ms;
/// Last part of the recovery time, in which requests must succeed again.
constexpr auto recovery_window = 3000ms;
/// Percentage of requests that must succeed in the recovery window.
constexpr std::size_t min_success_percent = 90;
/// Time after SIGTERM within which a process must exit: the grace period and a
/// margin, or without timed checks a time that suffices to detect a process
/// that never exits. The latter is also the limit for becoming ready.
constexpr auto max_exit_time = 8000ms;
constexpr auto untimed_limit = 60000ms;

} // namespace

soak_run::soak_run(soak_settings settings)
    : settings_(std::move(settings))
    , plan_(plan_faults(settings_))
    , checks_(settings_, ledger_)
    , platform_(context_,
                settings_,
                ledger_,
                {[this](std::string const& id,
                        sent_request const& sent,
                        soak_upstream const& upstream)
                 {
                     checks_.on_arrival(id, sent, upstream);
                 },
                 [this](std::string const& id,
                        sent_request const& sent,
                        soak_upstream const& upstream)
                 {
                     checks_.on_completion(id, sent, upstream);
                 }})
    , injector_(context_, platform_, instances_)
{
    random_source random(settings_.seed + 2);
    for (std::size_t i = 0; i < domains * settings_.instances_per_domain; ++i)
        instances_.push_back(std::make_unique<soak_instance>(
            context_, settings_, i, platform_.store_address()));
    checks_.watch(platform_, instances_);
    for (std::size_t i = 0; i < settings_.callers; ++i)
        callers_.push_back(std::make_unique<soak_caller>(context_,
                                                         i,
                                                         random.fork(),
                                                         platform_,
                                                         instances_,
                                                         ledger_,
                                                         checks_));
}

bool soak_run::run()
{
    asio::co_spawn(context_, run_plan(), asio::detached);
    context_.run();
    ledger_.finish();
    return ledger_.violations().empty();
}

void soak_run::print(std::ostream& out) const
{
    out << "seed " << settings_.seed << ": " << plan_.size() << " faults, "
        << ledger_.size() << " requests, responses";
    for (auto const& [status, count] : ledger_.statuses())
        out << " " << status << ":" << count;
    out << ", " << ledger_.violations().size() << " violations\n";
    if (ledger_.violations().empty())
        return;
    for (auto const& fault : plan_)
        out << "  " << fault.at.count() << " ms " << to_string(fault.kind)
            << " for " << fault.duration.count() << " ms\n";
    for (auto const& item : ledger_.violations())
        out << "  " << item.guarantee << " " << item.detail << "\n";
}

asio::awaitable<void> soak_run::run_plan()
{
    for (auto const& instance : instances_)
        instance->start();
    asio::co_spawn(context_, platform_.renew_entries(), asio::detached);
    asio::co_spawn(context_, supervise(), asio::detached);
    co_await wait_until_ready();
    for (auto const& caller : callers_)
        asio::co_spawn(context_, caller->run(), asio::detached);
    auto now = 0ms;
    for (auto const& fault : plan_)
    {
        co_await pause(fault.at - now);
        now = fault.at;
        asio::co_spawn(context_, injector_.inject(fault), asio::detached);
    }
    co_await pause(settings_.fault_time - now + settings_.recovery_time -
                   recovery_window);
    // Reset the counts, so that check_recovery() gets those of the recovery
    // window only.
    for (auto const& caller : callers_)
        caller->take_counts();
    co_await pause(recovery_window);
    check_recovery();
    co_await stop();
    context_.stop();
}

asio::awaitable<void> soak_run::wait_until_ready()
{
    auto const until = core::clock::now() + untimed_limit;
    for (auto const& instance : instances_)
        while (core::clock::now() < until)
        {
            auto const server = instance->directory();
            auto const response = co_await stand_ins::call_once(
                server,
                stand_ins::make_request(boost::beast::http::verb::get,
                                        "/resolve?name=shop.example"),
                poll_interval * 10);
            if (response && response->result_int() == 200)
                break;
            co_await pause(poll_interval);
        }
    if (core::clock::now() >= until)
        ledger_.report("START", "an instance has not become ready");
}

asio::awaitable<void> soak_run::supervise()
{
    std::vector<std::optional<core::time_point>> exited_at(instances_.size());
    while (true)
    {
        auto const now = core::clock::now();
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            auto& process = instances_.at(i)->process();
            bool const ran = process.is_running();
            // Reaps the process if it has exited.
            checks_.check_exit(*instances_.at(i), i);
            if (ran && !process.is_running())
                exited_at.at(i) = now;
            if (restarts_ && exited_at.at(i) &&
                now - *exited_at.at(i) >= restart_delay)
            {
                exited_at.at(i).reset();
                instances_.at(i)->start();
            }
        }
        co_await pause(poll_interval);
    }
}

asio::awaitable<void> soak_run::stop()
{
    restarts_ = false;
    for (auto const& caller : callers_)
        caller->stop();
    for (auto const& instance : instances_)
        instance->process().signal(SIGTERM);
    auto const until =
        core::clock::now() +
        (settings_.checks_time_bounds ? max_exit_time : untimed_limit);
    while (any_running() && core::clock::now() < until)
        co_await pause(poll_interval);
    for (std::size_t i = 0; i < instances_.size(); ++i)
        if (instances_.at(i)->process().is_running())
            ledger_.report("EXIT",
                           "instance " + std::to_string(i) +
                               " does not exit after SIGTERM");
}

bool soak_run::any_running()
{
    return std::any_of(instances_.begin(),
                       instances_.end(),
                       [](auto const& instance)
                       {
                           return instance->process().is_running();
                       });
}

void soak_run::check_recovery()
{
    soak_caller::counts sum;
    for (auto const& caller : callers_)
    {
        auto const counts = caller->take_counts();
        sum.sent += counts.sent;
        sum.served += counts.served;
    }
    if (sum.served == 0 || (settings_.checks_time_bounds &&
                            sum.served * 100 < sum.sent * min_success_percent))
        ledger_.report("RECOVER",
                       std::to_string(sum.served) + " of " +
                           std::to_string(sum.sent) +
                           " requests succeeded after the faults");
}

asio::awaitable<void> soak_run::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(as_result);
}

} // namespace kumquatloom::soak
