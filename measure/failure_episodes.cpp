#include <kumquatloom/hosting/neighbour_messenger.hpp>
#include <kumquatloom/hosting/remote_load_table.hpp>
#include <kumquatloom/hosting/upstream_tracker.hpp>
#include <kumquatloom/limits/retry_budget.hpp>
#include <kumquatloom/routing/picker.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <measure/event_queue.hpp>
#include <measure/failure_episodes.hpp>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

namespace kumquatloom::measure
{

namespace
{

using namespace std::chrono_literals;
using health::attempt_result;

constexpr core::duration mean_service_time = 100ms;
/// Time limit of a request, and the time that it may wait for a free slot.
constexpr core::duration time_limit = 1s;
constexpr core::duration max_wait = 400ms;
constexpr core::duration poll_interval = 5ms;
/// Time until the reset of a connection is known to the sender.
constexpr core::duration reset_time = 2ms;
constexpr std::size_t max_attempts = 2;
/// Requests that an upstream queues, as a multiple of its slots.
constexpr unsigned queue_factor = 4;
/// Intervals of an instance: check for due messages, heartbeat, evaluation of
/// all upstreams.
constexpr core::duration tick_interval = 25ms;
constexpr core::duration heartbeat_interval = 250ms;
constexpr core::duration health_interval = 100ms;
/// Delivery time of a message inside a domain. With the tick, news takes 50 to
/// 150 ms.
constexpr std::array<std::int64_t, 2> delivery_ms{38, 138};
/// Interval of domain reports in the region, and their delivery time.
constexpr core::duration domain_report_interval = 100ms;
constexpr core::duration domain_report_delivery = 100ms;
constexpr double other_domain_trust = 0.4;
/// Fraction of the upstreams that is never avoided.
constexpr double avoidance_floor = 0.4;
/// Retries per 100 requests.
constexpr unsigned retry_percent = 17;
/// Time before the figures are taken.
constexpr core::duration warm_up = 10s;

core::upstream_id id_of(unsigned number)
{
    return core::upstream_id("i-" + std::to_string(number));
}

core::failure_domain domain_of(unsigned number)
{
    return core::failure_domain("domain-" + std::to_string(number));
}

/// A request on its way through the simulation.
struct episode_request
{
    unsigned instance = 0;
    bool is_idempotent = false;
    core::time_point start;
    std::vector<boost::intrusive_ptr<routing::upstream>> tried;
    routing::pick chosen;
    core::time_point sent;
    unsigned upstream = 0;
    bool is_retry = false;
    /// Whether a failed attempt has been paid from the retry budget in advance.
    bool has_reserved_retry = false;
};

using request_pointer = std::shared_ptr<episode_request>;

struct episode_upstream
{
    bool in_episode = false;
    unsigned busy = 0;
    std::deque<request_pointer> queue;
    /// When the last episode ended, until a request arrives.
    core::time_point recovered = core::time_point::max();
    core::time_point last_arrival;
    unsigned arrivals = 0;
};

struct episode_instance
{
    explicit episode_instance(unsigned number, core::time_point now)
        : domain(number)
        , picker(routing::balancing_policy::least_used)
        , tracker(avoidance_floor)
        , budget({retry_percent, 0, 1}, now)
    {
    }

    unsigned domain;
    routing::picker picker;
    hosting::upstream_tracker tracker;
    hosting::remote_load_table loads;
    limits::retry_budget budget;
    std::deque<request_pointer> waiting;
    bool is_polling = false;
    core::time_point last_sent;
    std::string host;
};

class failure_episodes
{
public:
    explicit failure_episodes(failure_episodes_scenario const& setup)
        : setup_(setup)
        , random_(setup.seed)
        , upstreams_(setup.upstreams)
        , evidence_(setup.domains)
    {
        std::vector<routing::listed_upstream> list;
        for (unsigned i = 0; i < setup.upstreams; ++i)
        {
            numbers_[hosting::short_hash(id_of(i))] = i;
            list.push_back({{id_of(i),
                             core::service_name("service"),
                             "10.0.0.1",
                             80,
                             domain_of(i % setup.domains),
                             core::region("region"),
                             setup.slots},
                            false});
        }
        auto const settings =
            setup.policy == episode_policy::fewer_trials
                ? health::health_estimate_settings::for_failure_episodes()
                : health::health_estimate_settings{};
        for (unsigned i = 0; i < setup.instances; ++i)
        {
            instances_.push_back(std::make_unique<episode_instance>(
                i % setup.domains, core::time_point()));
            auto& instance = *instances_.back();
            instance.host = std::to_string(i);
            auto const table = routing::upstream_table::build(
                nullptr,
                list,
                {domain_of(instance.domain), core::region("region")},
                core::time_point());
            instance.picker.publish(table);
            instance.tracker.track(
                core::service_name("service"), table, core::time_point());
            instance.tracker.configure(core::service_name("service"), settings);
            instance.tracker.assign_observers(
                {i / setup.domains, setup.instances / setup.domains});
        }
    }

    boost::json::object run()
    {
        for (unsigned i = 0; i < setup_.upstreams; ++i)
            schedule_episode(i, core::time_point());
        for (unsigned i = 0; i < setup_.instances; ++i)
        {
            auto const phase = random_duration(0, 24);
            events_.after(phase,
                          [this, i]
                          {
                              tick(i);
                          });
            events_.after(phase,
                          [this, i]
                          {
                              evaluate(i);
                          });
        }
        for (unsigned i = 0; i < setup_.domains; ++i)
            events_.after(random_duration(0, 99),
                          [this, i]
                          {
                              report_domain(i);
                          });
        schedule_arrival();
        events_.run_until(core::time_point(setup_.duration));
        return figures();
    }

private:
    bool is_measured(core::time_point at) const
    {
        return at >= core::time_point(warm_up);
    }

    core::duration random_duration(std::int64_t low_ms, std::int64_t high_ms)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<std::int64_t>(low_ms,
                                                        high_ms)(random_));
    }

    core::duration random_exponential(core::duration mean)
    {
        return std::chrono::duration_cast<core::duration>(
            mean * std::exponential_distribution<double>(1)(random_));
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    /// Returns 0.5 to 1.5 times the mean.
    core::duration vary(core::duration mean)
    {
        return std::chrono::duration_cast<core::duration>(
            mean * std::uniform_real_distribution<double>(0.5, 1.5)(random_));
    }

    void schedule_episode(unsigned number, core::time_point now)
    {
        auto const until_episode =
            now == core::time_point()
                ? random_duration(0, setup_.healthy.count())
                : vary(setup_.healthy);
        events_.after(until_episode,
                      [this, number]
                      {
                          upstreams_[number].in_episode = true;
                          upstreams_[number].recovered =
                              core::time_point::max();
                          events_.after(vary(setup_.episode),
                                        [this, number]
                                        {
                                            recover(number);
                                        });
                      });
    }

    void recover(unsigned number)
    {
        upstreams_[number].in_episode = false;
        upstreams_[number].recovered = events_.now();
        upstreams_[number].last_arrival = events_.now();
        schedule_episode(number, events_.now());
    }

    void schedule_arrival()
    {
        auto const mean = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(1 / setup_.requests_per_s));
        events_.after(random_exponential(mean),
                      [this]
                      {
                          arrive();
                          schedule_arrival();
                      });
    }

    void arrive()
    {
        auto const now = events_.now();
        auto const request = std::make_shared<episode_request>();
        request->instance = static_cast<unsigned>(random_() % setup_.instances);
        request->is_idempotent = chance(setup_.idempotent);
        request->start = now;
        if (is_measured(now))
            ++offered_[request->is_idempotent ? 1 : 0];
        auto& instance = *instances_[request->instance];
        instance.budget.record_request();
        instance.waiting.push_back(request);
        assign(request->instance);
    }

    routing::success_preference preference(episode_request const& request) const
    {
        using routing::success_preference;
        switch (setup_.policy)
        {
        case episode_policy::standard:
        case episode_policy::oracle:
            return success_preference::none;
        case episode_policy::freshness:
            return request.is_idempotent && !request.is_retry
                       ? success_preference::none
                       : success_preference::recent;
        default:
            return request.is_idempotent && !request.is_retry
                       ? success_preference::oldest
                       : success_preference::recent;
        }
    }

    core::result<routing::pick, routing::pick_error>
    choose(episode_instance& instance, episode_request& request)
    {
        auto const now = events_.now();
        if (setup_.policy == episode_policy::oracle)
            apply_oracle(instance);
        bool may_be_trial = request.is_idempotent && !request.is_retry &&
                            setup_.policy != episode_policy::oracle;
        if (setup_.policy == episode_policy::fewer_trials)
            request.has_reserved_retry =
                may_be_trial && instance.budget.try_take(now);
        may_be_trial =
            may_be_trial && (request.has_reserved_retry ||
                             (setup_.policy != episode_policy::fewer_trials &&
                              instance.budget.allows_retry(now)));
        auto chosen = instance.picker.choose(
            {request.tried,
             may_be_trial ? routing::trial_permission::due
                          : routing::trial_permission::none,
             random_(),
             preference(request)},
            now);
        if (request.has_reserved_retry &&
            (!chosen || chosen.value().tier != routing::pick_tier::trial))
        {
            request.has_reserved_retry = false;
            instance.budget.give_back();
        }
        return chosen;
    }

    /// Gives the instance's picker the true states of the upstreams.
    void apply_oracle(episode_instance& instance)
    {
        std::vector<health::standing_decision> decisions;
        for (unsigned i = 0; i < setup_.upstreams; ++i)
            decisions.push_back({id_of(i),
                                 upstreams_[i].in_episode
                                     ? health::upstream_standing::avoided
                                     : health::upstream_standing::normal,
                                 0,
                                 1,
                                 false,
                                 upstreams_[i].in_episode,
                                 core::time_point()});
        instance.picker.table()->publish(decisions, events_.now());
    }

    /// Sends the waiting requests of an instance as long as upstreams have free
    /// slots by what it knows.
    void assign(unsigned number)
    {
        auto const now = events_.now();
        auto& instance = *instances_[number];
        while (!instance.waiting.empty())
        {
            auto const request = instance.waiting.front();
            if (now - request->start > max_wait)
            {
                instance.waiting.pop_front();
                fail(*request);
                continue;
            }
            auto chosen = choose(instance, *request);
            if (!chosen)
                break;
            instance.waiting.pop_front();
            send(request, std::move(chosen.value()));
        }
        if (instance.waiting.empty() || instance.is_polling)
            return;
        instance.is_polling = true;
        events_.after(poll_interval,
                      [this, number]
                      {
                          instances_[number]->is_polling = false;
                          assign(number);
                      });
    }

    void send(request_pointer const& request, routing::pick chosen)
    {
        auto const now = events_.now();
        request->chosen = std::move(chosen);
        request->sent = now;
        request->upstream = numbers_.at(
            hosting::short_hash(request->chosen.object->endpoint().id));
        auto& upstream = upstreams_[request->upstream];
        bool const measured = is_measured(now);
        bool const is_trial = request->chosen.tier == routing::pick_tier::trial;
        attempts_ += measured ? 1 : 0;
        trials_ += measured && is_trial ? 1 : 0;
        count_arrival(upstream, now);
        if (upstream.in_episode && chance(setup_.reset))
        {
            resets_ += measured ? 1 : 0;
            failed_trials_ += measured && is_trial ? 1 : 0;
            events_.after(reset_time,
                          [this, request]
                          {
                              end(request, attempt_result::cut_short);
                          });
        }
        else if (upstream.busy < setup_.slots)
            start(request);
        else if (upstream.queue.size() < setup_.slots * queue_factor)
            upstream.queue.push_back(request);
        else
            events_.after(reset_time,
                          [this, request]
                          {
                              end(request, attempt_result::refused);
                          });
    }

    void count_arrival(episode_upstream& upstream, core::time_point now)
    {
        if (upstream.in_episode)
            return;
        if (is_measured(now))
        {
            ++upstream.arrivals;
            gaps_.push_back(now - upstream.last_arrival);
            if (upstream.recovered != core::time_point::max())
                recoveries_.push_back(now - upstream.recovered);
        }
        upstream.recovered = core::time_point::max();
        upstream.last_arrival = now;
    }

    void start(request_pointer const& request)
    {
        ++upstreams_[request->upstream].busy;
        events_.after(random_exponential(mean_service_time),
                      [this, request]
                      {
                          respond(request);
                      });
    }

    void respond(request_pointer const& request)
    {
        auto& upstream = upstreams_[request->upstream];
        --upstream.busy;
        if (!upstream.queue.empty())
        {
            auto const next = upstream.queue.front();
            upstream.queue.pop_front();
            start(next);
        }
        end(request,
            chance(setup_.error) ? attempt_result::upstream_error
                                 : attempt_result::success);
    }

    void end(request_pointer const& request, attempt_result result)
    {
        auto const now = events_.now();
        auto& instance = *instances_[request->instance];
        health::attempt_report const report{
            request->chosen.object->endpoint().id,
            result,
            now - request->sent,
            time_limit};
        instance.picker.finish_attempt(request->chosen, report, now);
        instance.tracker.record_attempt(*request->chosen.object, report, now);
        if (result == attempt_result::success)
        {
            if (request->has_reserved_retry)
                instance.budget.give_back();
            if (now - request->start > time_limit)
                fail(*request);
            else
                times_.push_back(now - request->start);
        }
        else
            retry(request, result);
        assign(request->instance);
    }

    void retry(request_pointer const& request, attempt_result result)
    {
        auto const now = events_.now();
        auto& instance = *instances_[request->instance];
        request->tried.push_back(request->chosen.object);
        bool const may_repeat =
            request->is_idempotent || result == attempt_result::refused;
        if (!may_repeat || request->tried.size() >= max_attempts ||
            (!request->has_reserved_retry && !instance.budget.try_take(now)))
        {
            fail(*request);
            return;
        }
        request->has_reserved_retry = false;
        request->is_retry = true;
        instance.waiting.push_front(request);
    }

    void fail(episode_request const& request)
    {
        if (is_measured(request.start))
            ++unserved_[request.is_idempotent ? 1 : 0];
    }

    void tick(unsigned number)
    {
        events_.after(tick_interval,
                      [this, number]
                      {
                          tick(number);
                      });
        auto& sender = *instances_[number];
        auto const now = events_.now();
        auto const elapsed = now - sender.last_sent;
        auto const neighbours = setup_.instances / setup_.domains;
        if (!sender.tracker.has_urgent_evidence() &&
            elapsed < heartbeat_interval &&
            (elapsed < hosting::load_message_interval(neighbours) ||
             !sender.tracker.has_load_change()))
            return;
        sender.last_sent = now;
        auto const reports =
            std::make_shared<std::vector<hosting::upstream_report>>(
                sender.tracker.take_reports());
        for (auto const& report : *reports)
            evidence_[sender.domain][report.upstream] += report.evidence;
        events_.after(random_duration(delivery_ms[0], delivery_ms[1]),
                      [this, number, reports]
                      {
                          deliver(number, *reports);
                      });
    }

    void deliver(unsigned number,
                 std::vector<hosting::upstream_report> const& reports)
    {
        auto const& sender = *instances_[number];
        for (auto const& receiver : instances_)
        {
            if (receiver->domain != sender.domain || receiver.get() == &sender)
                continue;
            receiver->loads.update_neighbour(sender.host, reports);
            receiver->tracker.merge_evidence(reports, 1, events_.now());
            receiver->tracker.publish_remote_load(
                receiver->loads, receiver->loads.take_changed());
        }
    }

    void report_domain(unsigned domain)
    {
        events_.after(domain_report_interval,
                      [this, domain]
                      {
                          report_domain(domain);
                      });
        auto const reports =
            std::make_shared<std::vector<hosting::upstream_report>>();
        std::map<std::uint32_t, unsigned> load;
        for (auto const& instance : instances_)
            if (instance->domain == domain)
                for (auto const& own : instance->tracker.load_reports())
                    load[own.upstream] += own.in_flight;
        for (auto const& [upstream, number] : numbers_)
        {
            auto const evidence = evidence_[domain][upstream];
            if (load[upstream] != 0 || evidence != 0)
                reports->push_back({upstream,
                                    static_cast<std::uint8_t>(load[upstream]),
                                    static_cast<std::int16_t>(evidence)});
        }
        evidence_[domain].clear();
        events_.after(domain_report_delivery,
                      [this, domain, reports]
                      {
                          deliver_domain(domain, *reports);
                      });
    }

    void deliver_domain(unsigned domain,
                        std::vector<hosting::upstream_report> const& reports)
    {
        for (auto const& receiver : instances_)
        {
            if (receiver->domain == domain)
                continue;
            receiver->loads.update_domain(
                domain_of(domain), reports, events_.now());
            receiver->tracker.merge_evidence(
                reports, other_domain_trust, events_.now());
            receiver->tracker.publish_remote_load(
                receiver->loads, receiver->loads.take_changed());
        }
    }

    void evaluate(unsigned number)
    {
        events_.after(health_interval,
                      [this, number]
                      {
                          evaluate(number);
                      });
        if (setup_.policy != episode_policy::oracle)
            instances_[number]->tracker.update_standings(events_.now());
    }

    boost::json::object figures()
    {
        auto const ratio = [](std::size_t part, std::size_t whole)
        {
            return static_cast<double>(part) /
                   static_cast<double>(std::max<std::size_t>(whole, 1));
        };
        auto const quantile_ms =
            [](std::vector<core::duration>& samples, double fraction)
        {
            if (samples.empty())
                return std::int64_t{0};
            auto const position = static_cast<std::ptrdiff_t>(
                fraction * static_cast<double>(samples.size() - 1));
            std::nth_element(
                samples.begin(), samples.begin() + position, samples.end());
            return static_cast<std::int64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    samples[static_cast<std::size_t>(position)])
                    .count());
        };
        double sum = 0;
        double squares = 0;
        for (auto const& upstream : upstreams_)
        {
            sum += upstream.arrivals;
            squares += 1.0 * upstream.arrivals * upstream.arrivals;
        }
        auto const mean = sum / setup_.upstreams;
        auto const seconds = static_cast<std::size_t>(
            (setup_.duration -
             std::chrono::duration_cast<std::chrono::seconds>(warm_up))
                .count());
        boost::json::object result;
        result["unserved"] =
            ratio(unserved_[0] + unserved_[1], offered_[0] + offered_[1]);
        result["unserved_non_idempotent"] = ratio(unserved_[0], offered_[0]);
        result["unserved_idempotent"] = ratio(unserved_[1], offered_[1]);
        result["resets_per_s"] = ratio(resets_, seconds);
        result["trials_per_s"] = ratio(trials_, seconds);
        result["failed_trials_per_s"] = ratio(failed_trials_, seconds);
        result["attempts_per_request"] =
            ratio(attempts_, offered_[0] + offered_[1]);
        result["spread"] =
            std::sqrt(std::max(0.0, squares / setup_.upstreams - mean * mean)) /
            mean;
        result["recovered_p50_ms"] = quantile_ms(recoveries_, 0.5);
        result["recovered_p99_ms"] = quantile_ms(recoveries_, 0.99);
        result["recovered_max_ms"] = quantile_ms(recoveries_, 1);
        result["gap_max_ms"] = quantile_ms(gaps_, 1);
        result["response_p50_ms"] = quantile_ms(times_, 0.5);
        result["response_p99_ms"] = quantile_ms(times_, 0.99);
        return result;
    }

    failure_episodes_scenario setup_;
    std::mt19937_64 random_;
    event_queue events_;
    std::vector<episode_upstream> upstreams_;
    std::vector<std::unique_ptr<episode_instance>> instances_;
    /// Numbers of the upstreams by the hash in reports.
    std::map<std::uint32_t, unsigned> numbers_;
    /// Evidence that a domain has not reported to the others, in tenths.
    std::vector<std::map<std::uint32_t, int>> evidence_;
    /// Counts of non-idempotent and idempotent requests.
    std::array<std::size_t, 2> offered_{};
    std::array<std::size_t, 2> unserved_{};
    std::size_t attempts_ = 0;
    std::size_t trials_ = 0;
    std::size_t failed_trials_ = 0;
    std::size_t resets_ = 0;
    std::vector<core::duration> recoveries_;
    std::vector<core::duration> gaps_;
    std::vector<core::duration> times_;
};

} // namespace

episode_policy parse_episode_policy(std::string_view name)
{
    if (name == "standard" || name == "current")
        return episode_policy::standard;
    if (name == "freshness")
        return episode_policy::freshness;
    if (name == "exploring")
        return episode_policy::exploring;
    if (name == "fewer-trials")
        return episode_policy::fewer_trials;
    if (name == "oracle")
        return episode_policy::oracle;
    throw std::invalid_argument("unknown policy '" + std::string(name) + "'");
}

boost::json::object run_failure_episodes(failure_episodes_scenario const& setup)
{
    return failure_episodes(setup).run();
}

} // namespace kumquatloom::measure
