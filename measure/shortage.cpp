#include <kumquatloom/limits/admission_level.hpp>
#include <kumquatloom/limits/cost_aware_queue.hpp>
#include <kumquatloom/limits/deadline_admission.hpp>
#include <kumquatloom/limits/priority_fair_queue.hpp>
#include <kumquatloom/limits/retry_budget.hpp>
#include <kumquatloom/limits/retry_preference.hpp>
#include <kumquatloom/limits/return_order.hpp>
#include <kumquatloom/limits/shortage_control.hpp>
#include <kumquatloom/request/return_delay.hpp>
#include <kumquatloom/routing/picker.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <measure/event_queue.hpp>
#include <measure/shortage.hpp>
#include <memory>
#include <numeric>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

namespace kumquatloom::measure
{

namespace
{

using namespace std::chrono_literals;
using limits::priority;

constexpr core::duration target_latency = 500ms;
constexpr core::duration time_limit = 1s;
constexpr double late_worth = 0.3;
constexpr core::duration poll_interval = 5ms;
constexpr core::duration report_interval = 50ms;
/// Interval and number of receivers of the reports for the admission level.
constexpr core::duration level_interval = 100ms;
constexpr unsigned level_receivers = 4;
constexpr unsigned upstream_queue = 8;
constexpr unsigned organisations = 40;
constexpr unsigned max_attempts = 2;
/// Part of the requests of the organisation that can be hot.
constexpr double hot_share = 0.1;
constexpr double usual_load = 0.7;
constexpr core::time_point fault_at{5s};
constexpr core::time_point end_of_run{25s};

/// A kind of requests.
struct request_kind
{
    priority level;
    double share;
    core::duration work;
    double worth;
    char const* route;
};

constexpr std::array<request_kind, 2> kinds{
    {{priority::normal, 0.3, 110ms, 2, "/confirm/"},
     {priority::low, 0.7, 85ms, 1, "/lookup/"}}};

/// A request on its way through the simulation.
struct shortage_request
{
    request_kind const* kind = nullptr;
    unsigned organisation = 0;
    /// When the caller first sent it.
    core::time_point sent;
    /// When the instance received it.
    core::time_point received;
    unsigned instance = 0;
    core::duration work{};
    unsigned attempts = 0;
    bool measured = false;
    routing::pick chosen;
    std::vector<boost::intrusive_ptr<routing::upstream>> tried;
    core::time_point started;
    bool waiting = false;
    /// Round of assignments in which no untried upstream was free.
    unsigned skipped_in = 0;

    core::time_point target() const
    {
        return received + target_latency;
    }
    core::time_point limit() const
    {
        return sent + time_limit;
    }
};

using request_pointer = std::shared_ptr<shortage_request>;

/// One upstream with its slots and its queue.
struct shortage_upstream
{
    unsigned busy = 0;
    bool is_lost = false;
    std::deque<request_pointer> queue;
};

/// One entry instance.
struct shortage_instance
{
    shortage_instance(core::time_point now, std::size_t max_waiting)
        : picker(routing::balancing_policy::least_used)
        , standard_queue({})
        , admission({1000ms, 50})
        , budget({17, 0, 1}, now)
        , cost_aware_queue(max_waiting)
        , preference(17)
    {
    }

    routing::picker picker;
    std::vector<boost::intrusive_ptr<routing::upstream>> objects;
    std::vector<unsigned> reported;
    limits::priority_fair_queue<request_pointer> standard_queue;
    limits::deadline_admission admission;
    limits::retry_budget budget;
    limits::cost_aware_queue<request_pointer> cost_aware_queue;
    limits::shortage_control control;
    limits::retry_preference preference;
    limits::admission_level level;
    limits::return_order returns;
    std::uint32_t level_reports = 0;
    /// Waiting requests under the other policies.
    std::vector<request_pointer> waiting;
    unsigned in_flight = 0;
    bool is_polling = false;
    core::time_point reviewed_at;
};

core::organisation_name name_of(unsigned organisation)
{
    return core::organisation_name(std::to_string(organisation));
}

class shortage_simulation
{
public:
    explicit shortage_simulation(shortage_scenario const& setup)
        : setup_(setup)
        , random_(setup.seed)
        , upstreams_(setup.upstreams)
        , reported_(setup.upstreams, 0)
    {
        std::vector<routing::listed_upstream> list;
        for (unsigned i = 0; i < setup.upstreams; ++i)
            list.push_back({{id_of(i),
                             core::service_name("service"),
                             "10.0.0.1",
                             80,
                             core::failure_domain("domain"),
                             core::region("region"),
                             setup.slots},
                            false});
        for (unsigned i = 0; i < setup.instances; ++i)
        {
            instances_.push_back(std::make_unique<shortage_instance>(
                core::time_point(), max_waiting(setup)));
            auto& instance = *instances_.back();
            auto const table = routing::upstream_table::build(
                nullptr,
                list,
                {core::failure_domain("domain"), core::region("region")},
                core::time_point());
            instance.picker.publish(table);
            for (unsigned number = 0; number < setup.upstreams; ++number)
                instance.objects.push_back(table->find(id_of(number)));
            instance.reported.resize(setup.upstreams, 0);
        }
    }

    boost::json::object run()
    {
        for (unsigned i = 0; i < setup_.instances; ++i)
            schedule(core::time_point(std::chrono::milliseconds(i * 2 % 50)),
                     [this, i]
                     {
                         report(i);
                     });
        if (has_level())
            for (unsigned i = 0; i < setup_.instances; ++i)
                schedule(
                    core::time_point(level_interval * i / setup_.instances),
                    [this, i]
                    {
                        exchange_level(i);
                    });
        schedule_arrival();
        if (setup_.cause == shortage_cause::lost_domain)
            schedule(fault_at,
                     [this]
                     {
                         lose_domain();
                     });
        events_.run_until(end_of_run + 2 * time_limit);
        return figures();
    }

private:
    /// Results of one kind.
    struct kind_results
    {
        double offered = 0;
        double on_time = 0;
        double late = 0;
        std::vector<core::duration> latencies;
        std::map<std::string, unsigned> unserved;
    };

    static core::upstream_id id_of(unsigned number)
    {
        return core::upstream_id("i-" + std::to_string(number));
    }

    template <typename Action>
    void schedule(core::time_point at, Action action)
    {
        events_.at(at, std::move(action));
    }

    bool is_oracle() const
    {
        return setup_.policy == shortage_policy::oracle;
    }

    bool has_level() const
    {
        return setup_.policy == shortage_policy::domain_level ||
               setup_.policy == shortage_policy::domain_level_ordered_returns ||
               setup_.policy == shortage_policy::fleet_level;
    }

    bool orders_returns() const
    {
        return setup_.policy == shortage_policy::ordered_returns ||
               setup_.policy == shortage_policy::domain_level_ordered_returns;
    }

    /// A single instance stands for the queues of all.
    static std::size_t max_waiting(shortage_scenario const& setup)
    {
        constexpr std::size_t usual = 256;
        return setup.instances > 1 ? usual : usual * setup.upstreams;
    }

    bool is_cost_aware() const
    {
        return has_level() || orders_returns() ||
               setup_.policy == shortage_policy::cost_aware ||
               setup_.policy == shortage_policy::cost_aware_late ||
               setup_.policy == shortage_policy::cost_aware_equal_retries;
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    /// End of the time in which results are taken.
    core::time_point fault_end() const
    {
        switch (setup_.cause)
        {
        case shortage_cause::burst:
            return fault_at + 5s;
        case shortage_cause::refusals:
            return fault_at + 8s;
        default:
            return end_of_run;
        }
    }

    bool is_fault(core::time_point now) const
    {
        return now >= fault_at && now < fault_end();
    }

    /// Mean slots that a request of the usual mix takes for a second.
    static double mean_work()
    {
        // 2 % take 5 times the mean on average.
        constexpr double tail = 1 + 0.02 * 4;
        double sum = 0;
        for (auto const& kind : kinds)
            sum +=
                kind.share * std::chrono::duration<double>(kind.work).count();
        return sum * tail;
    }

    double hot_factor(core::time_point now) const
    {
        return setup_.cause == shortage_cause::hot_organisation && is_fault(now)
                   ? 7
                   : 1;
    }

    /// Load as a part of all slots.
    double load(core::time_point now) const
    {
        if (!is_fault(now))
            return usual_load;
        switch (setup_.cause)
        {
        case shortage_cause::burst:
        case shortage_cause::overload:
            return 2 * usual_load;
        default:
            return usual_load * (1 + hot_share * (hot_factor(now) - 1));
        }
    }

    void schedule_arrival()
    {
        auto const now = events_.now();
        double const rate =
            load(now) * setup_.upstreams * setup_.slots / mean_work();
        auto const at =
            now +
            std::chrono::duration_cast<core::duration>(
                std::chrono::duration<double>(
                    std::exponential_distribution<double>(rate)(random_)));
        if (at > end_of_run)
            return;
        schedule(at,
                 [this]
                 {
                     create();
                     schedule_arrival();
                 });
    }

    void create()
    {
        auto const now = events_.now();
        auto const request = std::make_shared<shortage_request>();
        request->kind = &kinds[uniform() < kinds[0].share ? 0 : 1];
        double const hot = hot_share * hot_factor(now);
        request->organisation =
            uniform() < hot / (1 - hot_share + hot)
                ? 0
                : 1 + static_cast<unsigned>(random_() % (organisations - 1));
        request->sent = now;
        constexpr double deviation = 0.55;
        double const sigma = std::sqrt(std::log(1 + deviation * deviation));
        double factor = std::lognormal_distribution<double>(-sigma * sigma / 2,
                                                            sigma)(random_);
        if (uniform() < 0.02)
            factor = 3 + 4 * uniform();
        request->work = std::chrono::duration_cast<core::duration>(
            request->kind->work * factor);
        request->measured = is_fault(now);
        if (request->measured)
        {
            results(*request).offered += 1;
            by_organisation_[request->organisation].first += 1;
        }
        arrive(request);
    }

    kind_results& results(shortage_request const& request)
    {
        return results_[request.kind == &kinds[0] ? 0 : 1];
    }

    void arrive(request_pointer const& request)
    {
        auto const now = events_.now();
        count_arrival(*request);
        request->received = now;
        request->attempts = 0;
        request->tried.clear();
        if (is_oracle())
        {
            central_.push_back(request);
            assign_central();
            return;
        }
        request->instance = static_cast<unsigned>(random_() % setup_.instances);
        auto& instance = *instances_[request->instance];
        instance.budget.record_request();
        instance.preference.record_request(now);
        enqueue(instance, request);
    }

    /// Queues a request, or refuses it at once.
    void enqueue(shortage_instance& instance, request_pointer const& request)
    {
        request->waiting = true;
        if (is_cost_aware())
        {
            enqueue_cost_aware(instance, request);
            return;
        }
        if (setup_.policy == shortage_policy::standard)
        {
            enqueue_standard(instance, request);
            return;
        }
        constexpr std::size_t threshold = 2;
        bool const is_refused =
            setup_.policy == shortage_policy::priority_threshold &&
            request->kind->level != priority::normal &&
            instance.waiting.size() >= threshold;
        if (is_refused)
        {
            refuse(request, "threshold");
            return;
        }
        instance.waiting.push_back(request);
        give_up(request, request->limit() - request->kind->work / 2);
        assign(instance);
    }

    void enqueue_cost_aware(shortage_instance& instance,
                            request_pointer const& request)
    {
        auto const now = events_.now();
        auto const level = request->kind->level;
        auto const limit = request->limit();
        auto& control = instance.control;
        control.room.record_arrival(level, now);
        // The remaining time that the caller states shows when it first
        // sent the request.
        auto const times = limits::start_times_of(
            limit - (time_limit - target_latency),
            limit,
            control.work.times(request->kind->route, now));
        auto const name = name_of(request->organisation);
        // A retry has been admitted before.
        if (has_level() && request->attempts == 0 &&
            instance.level.refuses(level, times.on_time - now, now))
        {
            refuse(request, "admission-level");
            return;
        }
        bool const is_first = instance.cost_aware_queue.size() == 0;
        auto const ahead =
            instance.cost_aware_queue.ahead_of(name, level, times, now);
        std::optional<limits::shortage_refusal> refusal;
        if (is_first && now <= times.last && try_send(instance, request))
            return;
        refusal =
            control.on_arrival(times, ahead, level, instance.in_flight, now);
        if (refusal == limits::shortage_refusal::target_out_of_reach &&
            setup_.policy == shortage_policy::cost_aware_late)
            refusal = std::nullopt;
        if (refusal)
        {
            refuse(request, std::string(to_string(*refusal)));
            return;
        }
        auto const pushed =
            instance.cost_aware_queue.push(name, level, times, request, now);
        if (pushed.evicted)
            refuse(*pushed.evicted, "evicted");
        if (!pushed.queued)
        {
            refuse(request, "queue-full");
            return;
        }
        schedule(times.last,
                 [this,
                  request,
                  &instance,
                  attempt = request->attempts,
                  received = request->received]
                 {
                     if (!request->waiting || request->attempts != attempt ||
                         request->received != received)
                         return;
                     instance.cost_aware_queue.withdraw(request);
                     refuse(request, "waited-in-vain");
                 });
        assign(instance);
    }

    void enqueue_standard(shortage_instance& instance,
                          request_pointer const& request)
    {
        auto const now = events_.now();
        auto const level = request->kind->level;
        auto const limit = request->limit();
        bool const is_admitted = instance.admission.admits(
            limit - now,
            instance.standard_queue.items_ahead_of(level),
            setup_.upstreams * setup_.slots,
            now);
        if (!is_admitted)
        {
            refuse(request, "no-time");
            return;
        }
        if (instance.standard_queue.size() == 0 && try_send(instance, request))
            return;
        auto const assumed = instance.admission.assumed_service_time();
        auto const start_by = request->target() - assumed;
        auto const give_up_at =
            std::min(limit - assumed, start_by + (request->target() - now));
        auto const pushed = instance.standard_queue.push(
            name_of(request->organisation), level, start_by, request);
        if (pushed.evicted)
            refuse(*pushed.evicted, "evicted");
        if (!pushed.queued)
        {
            refuse(request, "queue-full");
            return;
        }
        give_up(request, give_up_at);
        assign(instance);
    }

    void give_up(request_pointer const& request, core::time_point at)
    {
        schedule(at,
                 [this,
                  request,
                  attempt = request->attempts,
                  received = request->received]
                 {
                     if (request->waiting && request->attempts == attempt &&
                         request->received == received)
                         refuse(request, "waited-in-vain");
                 });
    }

    /// Sends the waiting requests of an instance as long as upstreams have free
    /// slots by what it knows.
    void assign(shortage_instance& instance)
    {
        auto const now = events_.now();
        bool is_blocked = false;
        ++round_;
        while (auto const request = next(instance))
        {
            if (try_send(instance, request))
            {
                if (is_cost_aware())
                    instance.cost_aware_queue.serve(request);
                continue;
            }
            is_blocked = true;
            restore(instance, request);
            if (!is_cost_aware() || request->tried.empty())
                break;
            // Another request may use an upstream that this one has tried.
            request->skipped_in = round_;
        }
        review(instance, now);
        if (!is_blocked || instance.is_polling)
            return;
        instance.is_polling = true;
        schedule(now + poll_interval,
                 [this, &instance]
                 {
                     instance.is_polling = false;
                     assign(instance);
                 });
    }

    /// The next waiting request; null if there is none. All but cost-aware ones
    /// are removed from their queue.
    request_pointer next(shortage_instance& instance)
    {
        auto const now = events_.now();
        if (is_cost_aware())
        {
            auto const* const best = instance.cost_aware_queue.best(
                now,
                [&](request_pointer const& item)
                {
                    return item->skipped_in != round_;
                });
            return best == nullptr ? nullptr : *best;
        }
        if (setup_.policy == shortage_policy::standard)
        {
            // The queue has no way to look at the next one, so a slot is found
            // first, as in the program.
            if (instance.standard_queue.size() == 0 || !has_slot(instance))
                return nullptr;
            while (auto popped = instance.standard_queue.pop(now))
                if ((*popped)->waiting)
                    return *popped;
            return nullptr;
        }
        std::erase_if(instance.waiting,
                      [](request_pointer const& item)
                      {
                          return !item->waiting;
                      });
        if (instance.waiting.empty())
            return nullptr;
        auto const best = std::min_element(
            instance.waiting.begin(),
            instance.waiting.end(),
            [&](request_pointer const& left, request_pointer const& right)
            {
                return rank(*left) < rank(*right);
            });
        auto result = *best;
        instance.waiting.erase(best);
        return result;
    }

    /// Order of a request under the simple policies; the least goes first.
    double rank(shortage_request const& request) const
    {
        auto const seconds = [](core::time_point time)
        {
            return std::chrono::duration<double>(time.time_since_epoch())
                .count();
        };
        switch (setup_.policy)
        {
        case shortage_policy::earliest_deadline:
            return seconds(request.target());
        case shortage_policy::weighted_shortest:
            return -request.kind->worth /
                   std::chrono::duration<double>(request.kind->work).count();
        default:
            return seconds(request.received);
        }
    }

    void restore(shortage_instance& instance, request_pointer const& request)
    {
        if (!is_cost_aware() && setup_.policy != shortage_policy::standard)
            instance.waiting.insert(instance.waiting.begin(), request);
    }

    bool has_slot(shortage_instance& instance)
    {
        update_load(instance);
        auto const now = events_.now();
        auto chosen = instance.picker.choose(
            {{}, routing::trial_permission::none, random_()}, now);
        if (!chosen)
        {
            poll_later(instance);
            return false;
        }
        instance.picker.cancel_attempt(chosen.value(), now);
        return true;
    }

    void poll_later(shortage_instance& instance)
    {
        if (instance.is_polling)
            return;
        instance.is_polling = true;
        schedule(events_.now() + poll_interval,
                 [this, &instance]
                 {
                     instance.is_polling = false;
                     assign(instance);
                 });
    }

    void review(shortage_instance& instance, core::time_point now)
    {
        constexpr core::duration interval = 25ms;
        if (!is_cost_aware() || now - instance.reviewed_at < interval ||
            instance.cost_aware_queue.size() == 0)
            return;
        instance.reviewed_at = now;
        for (auto const &item : instance.cost_aware_queue.remove_hopeless(
                 now,
                 [&](std::size_t ahead, priority level)
                 {
                     return instance.control.shortest_wait(
                         ahead, level, instance.in_flight, now);
                 }))
            refuse(item, "room-shrank");
    }

    void update_load(shortage_instance& instance)
    {
        for (unsigned i = 0; i < setup_.upstreams; ++i)
            instance.objects[i]->update_remote_load(reported_[i] -
                                                    instance.reported[i]);
    }

    /// Sends a request if an upstream has a free slot.
    bool try_send(shortage_instance& instance, request_pointer const& request)
    {
        auto const now = events_.now();
        update_load(instance);
        auto chosen = instance.picker.choose(
            {request->tried, routing::trial_permission::none, random_()}, now);
        if (!chosen)
            return false;
        request->chosen = std::move(chosen.value());
        request->tried.push_back(request->chosen.object);
        request->waiting = false;
        ++request->attempts;
        ++instance.in_flight;
        instance.control.room.record_grant(now);
        request->started = now;
        deliver(request);
        return true;
    }

    void deliver(request_pointer const& request)
    {
        auto& upstream = upstreams_[number_of(*request)];
        bool const is_refusing = setup_.cause == shortage_cause::refusals &&
                                 is_fault(events_.now()) && uniform() < 0.55;
        if (upstream.is_lost || is_refusing ||
            (upstream.busy >= setup_.slots &&
             upstream.queue.size() >= upstream_queue))
        {
            // The refusal arrives after a round trip.
            schedule(events_.now() + 1ms,
                     [this, request]
                     {
                         end_attempt(request, health::attempt_result::refused);
                     });
            return;
        }
        if (upstream.busy < setup_.slots)
            start(request);
        else
            upstream.queue.push_back(request);
    }

    void start(request_pointer const& request)
    {
        ++upstreams_[number_of(*request)].busy;
        schedule(events_.now() + request->work,
                 [this, request]
                 {
                     auto& upstream = upstreams_[number_of(*request)];
                     --upstream.busy;
                     if (!upstream.queue.empty())
                     {
                         auto const first = upstream.queue.front();
                         upstream.queue.pop_front();
                         start(first);
                     }
                     end_attempt(request,
                                 upstream.is_lost
                                     ? health::attempt_result::cut_short
                                     : health::attempt_result::success);
                 });
    }

    void end_attempt(request_pointer const& request,
                     health::attempt_result result)
    {
        auto const now = events_.now();
        auto& instance = *instances_[request->instance];
        --instance.in_flight;
        instance.picker.finish_attempt(
            request->chosen,
            {request->chosen.object->endpoint().id, result, {}, {}},
            now);
        bool const is_refused = result == health::attempt_result::refused;
        instance.preference.record_attempt(is_refused, now);
        if (result == health::attempt_result::success)
        {
            instance.control.work.record(
                request->kind->route, now - request->started, now);
            instance.admission.record(now - request->started, now);
            serve(request);
        }
        assign(instance);
        if (is_refused)
            retry(instance, request);
        else if (result == health::attempt_result::cut_short)
            lose(*request, "cut-short");
    }

    void retry(shortage_instance& instance, request_pointer const& request)
    {
        auto const now = events_.now();
        auto const level = request->kind->level;
        if (request->attempts >= max_attempts)
        {
            refuse(request, "attempts-refused");
            return;
        }
        bool const prefers =
            is_cost_aware() &&
            setup_.policy != shortage_policy::cost_aware_equal_retries;
        bool const is_denied =
            (prefers && !instance.preference.permits(level, now)) ||
            !instance.budget.try_take(now);
        if (is_denied)
        {
            refuse(request, "no-retry-budget");
            return;
        }
        instance.preference.record_retry(level);
        if (is_cost_aware())
            enqueue(instance, request);
        else if (!try_send(instance, request))
            refuse(request, "no-slot-for-retry");
    }

    void serve(request_pointer const& request)
    {
        if (!request->measured)
            return;
        auto const latency = events_.now() - request->sent;
        auto& kind = results(*request);
        if (is_fault(events_.now()))
            ++served_[static_cast<std::size_t>((events_.now() - fault_at) /
                                               bin)][request->kind->level];
        if (latency > time_limit)
        {
            lose(*request, "too-late");
            return;
        }
        bool const is_late = latency > target_latency;
        (is_late ? kind.late : kind.on_time) += 1;
        kind.latencies.push_back(latency);
        by_organisation_[request->organisation].second +=
            is_late ? late_worth : 1;
    }

    /// Refuses a request, whose caller returns if there is time.
    void refuse(request_pointer const& request, std::string const& reason)
    {
        auto const now = events_.now();
        request->waiting = false;
        auto const remaining = request->limit() - now;
        core::duration delay{};
        auto& instance = *instances_[request->instance];
        if (is_cost_aware())
        {
            delay = request::return_delay(
                room_expected(instance, *request), remaining, uniform());
        }
        else
        {
            auto const mean = std::max<core::duration>(
                instance.admission.estimate(instance.standard_queue.size() +
                                                instance.waiting.size(),
                                            setup_.upstreams * setup_.slots),
                100ms);
            delay = std::chrono::duration_cast<core::duration>(
                mean * (0.5 + uniform()));
        }
        if (delay * 3 > remaining)
        {
            lose(*request, reason);
            return;
        }
        ++returns_;
        schedule(now + delay,
                 [this, request]
                 {
                     arrive(request);
                 });
    }

    /// Time until there is room for a request that is refused.
    core::duration room_expected(shortage_instance& instance,
                                 shortage_request const& request)
    {
        auto const now = events_.now();
        auto const level = request.kind->level;
        auto const wait = [&](std::size_t ahead)
        {
            return instance.control.expected_wait(
                ahead, level, instance.in_flight, now);
        };
        auto const ahead = instance.cost_aware_queue.items_up_to(level);
        if (!orders_returns())
            return wait(ahead + 1);
        return instance.returns.reserve(
            name_of(request.organisation),
            level,
            wait(ahead),
            wait(1),
            request::longest_return_delay(request.limit() - now),
            now);
    }

    void lose(shortage_request const& request, std::string const& reason)
    {
        if (request.measured)
            ++results(request).unserved[reason];
    }

    void lose_domain()
    {
        for (unsigned i = 0; i < setup_.upstreams / 4; ++i)
        {
            auto& upstream = upstreams_[i];
            upstream.is_lost = true;
        }
        // The instances notice after half a second.
        schedule(events_.now() + 500ms,
                 [this]
                 {
                     for (auto const& instance : instances_)
                         for (unsigned i = 0; i < setup_.upstreams / 4; ++i)
                             instance->objects[i]->mark_leaving();
                 });
    }

    /// The oracle's choice for each free slot: the request with the most worth
    /// per work that still meets its target, else its limit.
    void assign_central()
    {
        auto const now = events_.now();
        std::erase_if(central_,
                      [&](request_pointer const& item)
                      {
                          if (now + item->work <= item->limit())
                              return false;
                          lose(*item, "no-time");
                          return true;
                      });
        for (auto& upstream : upstreams_)
            while (!upstream.is_lost && upstream.busy < setup_.slots &&
                   !central_.empty())
            {
                auto const value = [&](request_pointer const& item)
                {
                    double const worth =
                        now + item->work <= item->sent + target_latency
                            ? item->kind->worth
                            : item->kind->worth * late_worth;
                    return worth /
                           std::chrono::duration<double>(item->work).count();
                };
                auto const best =
                    std::max_element(central_.begin(),
                                     central_.end(),
                                     [&](auto const& left, auto const& right)
                                     {
                                         return value(left) < value(right);
                                     });
                auto const request = *best;
                central_.erase(best);
                start_central(upstream, request);
            }
    }

    void start_central(shortage_upstream& upstream,
                       request_pointer const& request)
    {
        ++request->attempts;
        bool const is_refusing = setup_.cause == shortage_cause::refusals &&
                                 is_fault(events_.now()) && uniform() < 0.55;
        if (is_refusing)
        {
            // The same bound on retries as that of the instances.
            constexpr double budget = 0.17;
            double const urgent = kinds[0].share * 0.55;
            bool const may_retry =
                request->attempts < max_attempts &&
                (request->kind->level == priority::normal
                     ? uniform() < budget / urgent
                     : uniform() < (budget - urgent) / (0.55 * 0.7));
            if (may_retry)
                central_.push_back(request);
            else
                lose(*request, "attempts-refused");
            return;
        }
        ++upstream.busy;
        schedule(events_.now() + request->work,
                 [this, request, &upstream]
                 {
                     --upstream.busy;
                     if (upstream.is_lost)
                         lose(*request, "cut-short");
                     else
                         serve(request);
                     assign_central();
                 });
    }

    /// Adds the load of an instance to what all others know.
    void report(unsigned number)
    {
        auto& sender = *instances_[number];
        for (unsigned i = 0; i < setup_.upstreams; ++i)
        {
            auto const load = sender.objects[i]->in_flight();
            reported_[i] += load - sender.reported[i];
            sender.reported[i] = load;
        }
        schedule(events_.now() + report_interval,
                 [this, number]
                 {
                     report(number);
                 });
    }

    /// Updates the level of an instance and sends its report to some others.
    void exchange_level(unsigned number)
    {
        auto const now = events_.now();
        auto& sender = *instances_[number];
        limits::room_report report;
        for (std::size_t i = 0; i < limits::room_report::levels; ++i)
            report.arrivals_per_s[i] =
                static_cast<float>(sender.control.room.arrivals_per_s(
                    static_cast<priority>(i), now));
        report.waiting = static_cast<float>(sender.cost_aware_queue.size());
        report.slots_per_s =
            static_cast<float>(sender.control.room.grants_per_s(now));
        sender.level.update(report, now);
        ++sender.level_reports;
        unsigned const scope =
            setup_.policy == shortage_policy::fleet_level ? 1 : setup_.domains;
        auto const members = setup_.instances / scope;
        for (unsigned i = 0; i < level_receivers && members > 1; ++i)
        {
            // Instances are spread over the domains in turn.
            auto const receiver =
                number % scope +
                scope * static_cast<unsigned>(random_() % members);
            if (receiver != number)
                schedule(now + 1ms,
                         [this,
                          number,
                          receiver,
                          report,
                          sequence = sender.level_reports]
                         {
                             instances_[receiver]->level.record(
                                 number, 1, sequence, report, events_.now());
                         });
        }
        schedule(now + level_interval,
                 [this, number]
                 {
                     exchange_level(number);
                 });
    }

    unsigned number_of(shortage_request const& request) const
    {
        auto const& objects = instances_[request.instance]->objects;
        return static_cast<unsigned>(
            std::find(objects.begin(), objects.end(), request.chosen.object) -
            objects.begin());
    }

    boost::json::object figures()
    {
        boost::json::object result;
        double worth = 0;
        double all = 0;
        for (std::size_t i = 0; i < kinds.size(); ++i)
        {
            auto& kind = results_[i];
            double const value = kind.on_time + late_worth * kind.late;
            worth += value * kinds[i].worth;
            all += kind.offered * kinds[i].worth;
            boost::json::object part;
            part["offered"] = kind.offered;
            part["value"] = value / kind.offered;
            part["served"] = (kind.on_time + kind.late) / kind.offered;
            auto const quantile = [&](double fraction)
            {
                std::sort(kind.latencies.begin(), kind.latencies.end());
                auto const count = kind.latencies.size();
                return count == 0 ? 0.0
                                  : std::chrono::duration<double, std::milli>(
                                        kind.latencies[static_cast<std::size_t>(
                                            fraction *
                                            static_cast<double>(count - 1))])
                                        .count();
            };
            part["p50_ms"] = std::lround(quantile(0.5));
            part["p99_ms"] = std::lround(quantile(0.99));
            boost::json::object unserved;
            for (auto const& [reason, count] : kind.unserved)
                unserved[reason] = count / kind.offered;
            part["unserved"] = unserved;
            result[i == 0 ? "urgent" : "other"] = part;
        }
        result["value"] = worth / all;
        std::vector<double> parts;
        for (auto const& [number, counts] : by_organisation_)
            if (counts.first > 0)
                parts.push_back(counts.second / counts.first);
        std::sort(parts.begin(), parts.end());
        auto const tenth = std::max<std::size_t>(parts.size() / 10, 1);
        result["worst_tenth"] =
            std::accumulate(parts.begin(),
                            parts.begin() + static_cast<std::ptrdiff_t>(tenth),
                            0.0) /
            static_cast<double>(tenth);
        result["returns"] = returns_;
        add_course(result);
        return result;
    }

    /// Counts the arrivals in the second after the fault.
    void count_arrival(shortage_request const& request)
    {
        auto const since = events_.now() - fault_end();
        if (since < core::duration::zero() || since >= core::duration(1s))
            return;
        ++arrivals_after_;
        if (request.kind->level == priority::normal)
            ++urgent_after_;
        ++arrivals_by_bin_[static_cast<std::size_t>(since / bin)];
    }

    /// Adds how the requests served and the arrivals varied over time.
    void add_course(boost::json::object& result) const
    {
        auto const bins =
            static_cast<std::size_t>((fault_end() - fault_at) / bin);
        double sum = 0;
        double squares = 0;
        std::size_t gap = 0;
        std::size_t longest_gap = 0;
        for (std::size_t i = 0; i < bins; ++i)
        {
            auto const found = served_.find(i);
            double count = 0;
            bool has_other = false;
            if (found != served_.end())
                for (auto const& [level, number] : found->second)
                {
                    count += number;
                    has_other = has_other || level == priority::low;
                }
            sum += count;
            squares += count * count;
            gap = has_other ? 0 : gap + 1;
            longest_gap = std::max(longest_gap, gap);
        }
        auto const number = static_cast<double>(bins);
        double const mean = sum / number;
        // Deviation of the requests served in 100 ms as a part of their mean.
        result["oscillation"] =
            std::sqrt(std::max(squares / number - mean * mean, 0.0)) / mean;
        result["longest_gap_ms"] = longest_gap * 100;
        // Relative to the usual rate.
        double const usual =
            usual_load * setup_.upstreams * setup_.slots / mean_work();
        result["arrivals_after"] = arrivals_after_ / usual;
        result["urgent_after"] = urgent_after_ / (usual * kinds[0].share);
        result["peak_after"] =
            *std::max_element(arrivals_by_bin_.begin(),
                              arrivals_by_bin_.end()) /
            (usual * std::chrono::duration<double>(bin).count());
    }

    static constexpr core::duration bin = 100ms;

    shortage_scenario setup_;
    std::mt19937_64 random_;
    event_queue events_;
    std::vector<shortage_upstream> upstreams_;
    std::vector<std::unique_ptr<shortage_instance>> instances_;
    /// Sum of the last reports, by upstream.
    std::vector<unsigned> reported_;
    /// The queue of the oracle.
    std::vector<request_pointer> central_;
    std::array<kind_results, 2> results_;
    /// Offered and served requests by organisation.
    std::map<unsigned, std::pair<double, double>> by_organisation_;
    unsigned returns_ = 0;
    /// Served requests of the fault, by bin and priority.
    std::map<std::size_t, std::map<priority, unsigned>> served_;
    /// Arrivals in the second after the fault.
    unsigned arrivals_after_ = 0;
    unsigned urgent_after_ = 0;
    std::array<double, 10> arrivals_by_bin_{};
    /// Number of the current round of assignments.
    unsigned round_ = 0;
};

} // namespace

shortage_policy parse_shortage_policy(std::string const& name)
{
    static std::map<std::string, shortage_policy> const names{
        {"standard", shortage_policy::standard},
        {"earliest-deadline", shortage_policy::earliest_deadline},
        {"weighted-shortest", shortage_policy::weighted_shortest},
        {"priority-threshold", shortage_policy::priority_threshold},
        {"current", shortage_policy::cost_aware},
        {"cost-aware", shortage_policy::cost_aware},
        {"cost-aware-late", shortage_policy::cost_aware_late},
        {"cost-aware-equal-retries", shortage_policy::cost_aware_equal_retries},
        {"ordered-returns", shortage_policy::ordered_returns},
        {"domain-level-ordered-returns",
         shortage_policy::domain_level_ordered_returns},
        {"domain-level", shortage_policy::domain_level},
        {"fleet-level", shortage_policy::fleet_level},
        {"oracle", shortage_policy::oracle}};
    auto const found = names.find(name);
    if (found == names.end())
        throw std::invalid_argument("unknown policy '" + name + "'");
    return found->second;
}

shortage_cause parse_shortage_cause(std::string const& name)
{
    static std::map<std::string, shortage_cause> const names{
        {"burst", shortage_cause::burst},
        {"overload", shortage_cause::overload},
        {"lost-domain", shortage_cause::lost_domain},
        {"refusals", shortage_cause::refusals},
        {"hot-organisation", shortage_cause::hot_organisation}};
    auto const found = names.find(name);
    if (found == names.end())
        throw std::invalid_argument("unknown fault '" + name + "'");
    return found->second;
}

boost::json::object run_shortage(shortage_scenario const& setup)
{
    return shortage_simulation(setup).run();
}

} // namespace kumquatloom::measure
