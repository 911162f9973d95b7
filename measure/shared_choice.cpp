#include <kumquatloom/routing/picker.hpp>

#include <algorithm>
#include <deque>
#include <measure/event_queue.hpp>
#include <measure/shared_choice.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kumquatloom::measure
{

namespace
{

using namespace std::chrono_literals;

constexpr core::duration mean_service_time = 300ms;
/// Time that a request may wait at its instance for a free slot.
constexpr core::duration max_wait = 2s;
/// Interval at which an instance looks for free slots while requests wait.
constexpr core::duration poll_interval = 5ms;
/// Window in which the arrivals at one upstream are counted.
constexpr core::duration burst_window = 100ms;
/// Requests that an upstream queues, as a multiple of its slots.
constexpr unsigned queue_factor = 4;
/// Part of the run before the figures are taken.
constexpr int warm_up_divisor = 10;

/// A request on its way through the simulation.
struct choice_request
{
    unsigned instance = 0;
    core::time_point start;
    routing::pick chosen;
};

using request_pointer = std::shared_ptr<choice_request>;

/// Value at a quantile; zero without samples.
template <typename Value>
Value quantile(std::vector<Value>& samples, double fraction)
{
    if (samples.empty())
        return {};
    auto const position = static_cast<std::ptrdiff_t>(
        fraction * static_cast<double>(samples.size() - 1));
    std::nth_element(
        samples.begin(), samples.begin() + position, samples.end());
    return samples[static_cast<std::size_t>(position)];
}

/// One upstream with its slots and its queue.
struct choice_upstream
{
    unsigned busy = 0;
    std::deque<request_pointer> queue;
    /// Number and beginning of the current burst window.
    std::int64_t window = -1;
    unsigned arrivals = 0;
    core::time_point last_arrival;
};

/// One entry instance with its own picker.
struct choice_instance
{
    explicit choice_instance(routing::balancing_policy policy)
        : picker(policy)
    {
    }

    routing::picker picker;
    /// Upstreams by number.
    std::vector<boost::intrusive_ptr<routing::upstream>> objects;
    /// Load in the last report, by upstream.
    std::vector<unsigned> reported;
    std::deque<request_pointer> waiting;
    bool is_polling = false;
};

class shared_choice
{
public:
    explicit shared_choice(shared_choice_scenario const& setup)
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
            instances_.push_back(
                std::make_unique<choice_instance>(setup.policy));
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
        std::uniform_int_distribution<std::int64_t> phase(
            0, setup_.report_interval.count());
        for (unsigned i = 0; i < setup_.instances; ++i)
            events_.at(
                core::time_point(std::chrono::milliseconds(phase(random_))),
                [this, i]
                {
                    report(i);
                });
        schedule_arrival(core::time_point());
        events_.run_until(core::time_point(setup_.duration));
        return figures();
    }

private:
    static core::upstream_id id_of(unsigned number)
    {
        return core::upstream_id("i-" + std::to_string(number));
    }

    bool is_measured(core::time_point now) const
    {
        return now >= core::time_point(setup_.duration) -
                          core::duration(setup_.duration) *
                              (warm_up_divisor - 1) / warm_up_divisor;
    }

    core::duration random_exponential(core::duration mean)
    {
        std::exponential_distribution<double> distribution(1);
        return std::chrono::duration_cast<core::duration>(
            mean * distribution(random_));
    }

    void schedule_arrival(core::time_point now)
    {
        auto const mean = std::chrono::duration_cast<core::duration>(
            mean_service_time /
            (setup_.load * setup_.upstreams * setup_.slots));
        auto const at = now + random_exponential(mean);
        events_.at(at,
                   [this, at]
                   {
                       arrive(at);
                       schedule_arrival(at);
                   });
    }

    void arrive(core::time_point now)
    {
        auto const request = std::make_shared<choice_request>();
        request->instance = static_cast<unsigned>(random_() % setup_.instances);
        request->start = now;
        if (is_measured(now))
            ++offered_;
        instances_[request->instance]->waiting.push_back(request);
        assign(request->instance, now);
    }

    /// Sends the waiting requests of an instance as long as upstreams have free
    /// slots by what it knows.
    void assign(unsigned number, core::time_point now)
    {
        auto& instance = *instances_[number];
        for (unsigned i = 0; i < setup_.upstreams; ++i)
            instance.objects[i]->update_remote_load(reported_[i] -
                                                    instance.reported[i]);
        while (!instance.waiting.empty())
        {
            auto const request = instance.waiting.front();
            if (now - request->start > max_wait)
            {
                instance.waiting.pop_front();
                continue;
            }
            auto chosen = instance.picker.choose(
                {{}, routing::trial_permission::none, random_()}, now);
            if (!chosen)
                break;
            instance.waiting.pop_front();
            request->chosen = std::move(chosen.value());
            deliver(request, now);
        }
        if (instance.waiting.empty() || instance.is_polling)
            return;
        instance.is_polling = true;
        events_.at(now + poll_interval,
                   [this, number, at = now + poll_interval]
                   {
                       instances_[number]->is_polling = false;
                       assign(number, at);
                   });
    }

    void deliver(request_pointer const& request, core::time_point now)
    {
        auto const number = number_of(*request);
        auto& upstream = upstreams_[number];
        count_arrival(upstream, now);
        if (upstream.busy < setup_.slots)
            start(request, now);
        else if (upstream.queue.size() < setup_.slots * queue_factor)
            upstream.queue.push_back(request);
        else
        {
            if (is_measured(request->start))
                ++refused_;
            finish(*request, now);
        }
    }

    void count_arrival(choice_upstream& upstream, core::time_point now)
    {
        if (is_measured(now))
            longest_gap_ = std::max(longest_gap_, now - upstream.last_arrival);
        upstream.last_arrival = now;
        auto const window = now.time_since_epoch() / burst_window;
        if (window != upstream.window && upstream.arrivals != 0 &&
            is_measured(now))
            bursts_.push_back(upstream.arrivals);
        if (window != upstream.window)
            upstream.arrivals = 0;
        upstream.window = window;
        ++upstream.arrivals;
    }

    void start(request_pointer const& request, core::time_point now)
    {
        ++upstreams_[number_of(*request)].busy;
        auto const at = now + random_exponential(mean_service_time);
        events_.at(at,
                   [this, request, at]
                   {
                       end(request, at);
                   });
    }

    void end(request_pointer const& request, core::time_point now)
    {
        auto& upstream = upstreams_[number_of(*request)];
        --upstream.busy;
        if (!upstream.queue.empty())
        {
            auto const next = upstream.queue.front();
            upstream.queue.pop_front();
            start(next, now);
        }
        if (is_measured(request->start))
            times_.push_back(now - request->start);
        finish(*request, now);
    }

    void finish(choice_request& request, core::time_point now)
    {
        instances_[request.instance]->picker.finish_attempt(
            request.chosen,
            {request.chosen.object->endpoint().id,
             health::attempt_result::success,
             {},
             {}},
            now);
        assign(request.instance, now);
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
        auto const at = events_.now() + setup_.report_interval;
        events_.at(at,
                   [this, number]
                   {
                       report(number);
                   });
    }

    unsigned number_of(choice_request const& request) const
    {
        auto const& objects = instances_[request.instance]->objects;
        return static_cast<unsigned>(
            std::find(objects.begin(), objects.end(), request.chosen.object) -
            objects.begin());
    }

    boost::json::object figures()
    {
        auto const to_ms = [](core::duration time)
        {
            return std::chrono::duration_cast<std::chrono::milliseconds>(time)
                .count();
        };
        auto const offered = static_cast<double>(std::max(offered_, 1U));
        boost::json::object result;
        result["served"] = static_cast<double>(times_.size()) / offered;
        result["refused_by_upstreams"] = refused_ / offered;
        result["burst_p99"] = quantile(bursts_, 0.99);
        result["burst_max"] = quantile(bursts_, 1);
        result["response_p50_ms"] = to_ms(quantile(times_, 0.5));
        result["response_p99_ms"] = to_ms(quantile(times_, 0.99));
        result["longest_gap_ms"] = to_ms(longest_gap_);
        return result;
    }

    shared_choice_scenario setup_;
    std::mt19937_64 random_;
    event_queue events_;
    std::vector<choice_upstream> upstreams_;
    std::vector<std::unique_ptr<choice_instance>> instances_;
    /// Sum of the last reports, by upstream.
    std::vector<unsigned> reported_;
    unsigned offered_ = 0;
    unsigned refused_ = 0;
    std::vector<unsigned> bursts_;
    std::vector<core::duration> times_;
    core::duration longest_gap_{};
};

} // namespace

boost::json::object run_shared_choice(shared_choice_scenario const& setup)
{
    return shared_choice(setup).run();
}

} // namespace kumquatloom::measure
