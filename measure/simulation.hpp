#ifndef KUMQUATLOOM_MEASURE_SIMULATION_HPP
#define KUMQUATLOOM_MEASURE_SIMULATION_HPP

#include <kumquatloom/health/evidence_message.hpp>
#include <kumquatloom/health/health_monitor.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <chrono>
#include <measure/attempt.hpp>
#include <measure/event_queue.hpp>
#include <measure/fake_upstream.hpp>
#include <measure/measurements.hpp>
#include <measure/scenario.hpp>
#include <random>
#include <set>
#include <sstream>
#include <type_traits>
#include <vector>

namespace kumquatloom::measure
{

/// One run: a service's upstreams, 48 entry instances with one policy, their
/// callers, the exchange of evidence and the log, under a manual clock.
template <typename Proxy>
class simulation
{
public:
    explicit simulation(scenario const& setup)
        : setup_(setup)
        , random_(setup.seed)
    {
        for (unsigned i = 0; i < setup.service.expected_upstreams; ++i)
            upstreams_.emplace_back(setup_,
                                    i,
                                    events_,
                                    random_,
                                    [this](attempt_pointer const& attempt)
                                    {
                                        send_response(attempt);
                                    });
        for (unsigned i = 0; i < scenario::instances; ++i)
            proxies_.emplace_back(setup_, i);
        kept_out_.resize(scenario::instances *
                         setup.service.expected_upstreams);
    }

    /// Runs to the end of the scenario.
    measurements run()
    {
        using namespace std::chrono_literals;
        for (unsigned i = 0; i < scenario::instances; ++i)
        {
            repeat(random_time(100ms),
                   health::health_monitor::tick_interval,
                   [this, i]
                   {
                       tick(i);
                   });
            // The list is polled every 500 ms.
            repeat(random_time(500ms),
                   500ms,
                   [this, i, known = false]() mutable
                   {
                       if (known ||
                           events_.now() < setup_.fault_at + scenario::list_lag)
                           return;
                       known = true;
                       proxies_[i].relist(events_.now());
                   });
            if constexpr (Proxy::shares_evidence)
                start_probes(i);
        }
        repeat(100ms,
               100ms,
               [this]
               {
                   inspect();
               });
        events_.after(next_arrival(),
                      [this]
                      {
                          arrive();
                      });
        events_.run_until(setup_.end);
        measure_detection();
        result_.control_bytes_per_instance_per_s =
            static_cast<double>(control_bytes_) / scenario::instances /
            std::chrono::duration<double>(setup_.end - core::time_point{})
                .count();
        return result_;
    }

private:
    /// Bytes of the inner protocol's frame around a message.
    static constexpr std::size_t frame_bytes = 80;
    /// Fraction of messages between instances that are lost.
    static constexpr double message_loss = 0.01;
    /// Upstreams that the first instance cannot hear in the one-way fault.
    static constexpr unsigned unheard_upstreams = 3;

    core::duration random_time(core::duration below)
    {
        return core::duration(
            std::uniform_int_distribution<core::duration::rep>(
                0, below.count() - 1)(random_));
    }

    bool happens(double probability)
    {
        return std::uniform_real_distribution<double>()(random_) < probability;
    }

    /// Runs an action again and again.
    void repeat(core::duration first,
                core::duration interval,
                std::function<void()> action)
    {
        events_.after(first,
                      [this, interval, action = std::move(action)]() mutable
                      {
                          action();
                          repeat(interval, interval, std::move(action));
                      });
    }

    /// Time to the next request of the Poisson process.
    core::duration next_arrival()
    {
        constexpr double overload = 1.5;
        bool const is_overloaded = setup_.fault == fault_kind::overload &&
                                   events_.now() >= setup_.fault_at;
        double const slots =
            setup_.service.expected_upstreams * setup_.service.slots;
        double const rate =
            (is_overloaded ? overload : setup_.load) * slots /
            std::chrono::duration<double>(scenario::service_time).count();
        std::exponential_distribution<double> gap(rate);
        return std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(gap(random_)));
    }

    /// A request reaches an entry instance.
    void arrive()
    {
        boost::intrusive_ptr<request_state> const request(new request_state);
        request->instance =
            static_cast<unsigned>(random_() % scenario::instances);
        request->is_idempotent = happens(scenario::idempotent_fraction);
        request->start = events_.now();
        request->deadline = events_.now() + setup_.service.timeout;
        ++result_.requests;
        try_once(request);
        events_.after(next_arrival(),
                      [this]
                      {
                          arrive();
                      });
    }

    /// Sends one attempt of a request.
    void try_once(boost::intrusive_ptr<request_state> const& request)
    {
        attempt_pointer const attempt(new attempt_state);
        attempt->request = request;
        attempt->sent = events_.now();
        if (!proxies_[request->instance].choose(
                *attempt, random_(), events_.now()))
        {
            // A refusal is not-run only if no attempt may have run.
            end(*request,
                request->may_have_run ? end_of::unknown : end_of::not_run);
            return;
        }
        ++request->attempts;
        ++result_.attempts;
        auto const latency = latency_of(*attempt);
        count_bytes(*attempt);
        events_.after(latency,
                      [this, attempt]
                      {
                          upstreams_[attempt->upstream].receive(attempt);
                      });
        events_.at(request->deadline,
                   [this, attempt]
                   {
                       finish(attempt, health::attempt_result::timeout);
                   });
    }

    core::duration latency_of(attempt_state const& attempt)
    {
        auto const base = scenario::latency(
            scenario::domain_of_instance(attempt.request->instance),
            scenario::domain_of_upstream(attempt.upstream));
        return base + random_time(base / 10);
    }

    void count_bytes(attempt_state const& attempt)
    {
        if (scenario::domain_of_instance(attempt.request->instance) / 2 !=
            scenario::domain_of_upstream(attempt.upstream) / 2)
            result_.cross_region_bytes += scenario::exchange_bytes;
    }

    /// Sends a response back over the network.
    void send_response(attempt_pointer const& attempt)
    {
        if (is_unheard(attempt->request->instance, attempt->upstream))
            return;
        events_.after(latency_of(*attempt),
                      [this, attempt]
                      {
                          finish(attempt, attempt->result);
                      });
    }

    /// Whether responses of an upstream do not reach an instance.
    bool is_unheard(unsigned instance, unsigned upstream) const
    {
        return setup_.fault == fault_kind::one_way &&
               events_.now() >= setup_.fault_at && instance == 0 &&
               scenario::domain_of_upstream(upstream) ==
                   scenario::domain_of_instance(0) &&
               upstream / scenario::domains < unheard_upstreams;
    }

    /// How a request ended for its caller.
    enum class end_of
    {
        completed,
        not_run,
        unknown
    };

    /// An entry instance ends an attempt.
    void finish(attempt_pointer const& attempt, health::attempt_result result)
    {
        if (attempt->ended)
            return;
        attempt->ended = true;
        auto& request = *attempt->request;
        auto& proxy = proxies_[request.instance];
        bool const heard = result != health::attempt_result::timeout;
        if (heard && attempt->reports_leaving)
            spread_leaving(request.instance, attempt->upstream);
        bool const is_wrong = result == health::attempt_result::wrong_answer;
        if (is_wrong && !Proxy::verifies)
        {
            result = health::attempt_result::success;
            ++result_.wrong_answers;
        }
        proxy.finish_attempt(*attempt, result, events_.now());
        if (result != health::attempt_result::refused)
            request.may_have_run = true;
        if (result == health::attempt_result::success)
            end(request, end_of::completed);
        else if (events_.now() < request.deadline &&
                 proxy.may_retry(request, result))
            try_once(attempt->request);
        else
            end(request,
                request.may_have_run ? end_of::unknown : end_of::not_run);
    }

    /// A request ends for its caller.
    void end(request_state const& request, end_of how)
    {
        if (how != end_of::completed ||
            events_.now() - request.start > scenario::late_after)
            ++result_.late;
        if (how == end_of::not_run)
        {
            ++result_.not_run;
            result_.false_not_run += request.executions > 0 ? 1 : 0;
        }
        if (how == end_of::unknown)
            ++result_.unknown;
        if (!request.is_idempotent && request.executions > 1)
            ++result_.double_executions;
    }

    /// Tells the members of the cell that an upstream leaves.
    void spread_leaving(unsigned from, unsigned upstream)
    {
        proxies_[from].note_leaving(upstream);
        for_each_peer(from,
                      [this, upstream](unsigned peer)
                      {
                          proxies_[peer].note_leaving(upstream);
                      });
    }

    /// Delivers a message to each other member of the cell, unless it is lost.
    template <typename Deliver>
    void for_each_peer(unsigned from, Deliver deliver)
    {
        using namespace std::chrono_literals;
        for (unsigned i = 0; i < scenario::instances; ++i)
        {
            if (i == from || scenario::domain_of_instance(i) / 2 !=
                                 scenario::domain_of_instance(from) / 2)
                continue;
            if (happens(message_loss))
                continue;
            events_.after(500us + random_time(2ms),
                          [deliver, i]
                          {
                              deliver(i);
                          });
        }
    }

    void tick(unsigned instance)
    {
        proxies_[instance].tick(events_.now());
        if constexpr (Proxy::shares_evidence)
        {
            send_evidence(instance);
            if (auto const record = proxies_[instance].propose(events_.now()))
                append(*record);
        }
    }

    /// Starts the probes of an instance.
    void start_probes(unsigned instance)
    {
        using namespace std::chrono_literals;
        constexpr core::duration probe_interval = 5s;
        // The faults of this program are gray: every probe succeeds.
        repeat(random_time(probe_interval),
               probe_interval,
               [this, instance]
               {
                   for (unsigned i = 0; i < upstreams_.size(); ++i)
                       proxies_[instance].monitor().record_probe(
                           core::upstream_id(std::to_string(i)),
                           true,
                           events_.now());
               });
    }

    void send_evidence(unsigned instance)
    {
        auto& monitor = proxies_[instance].monitor();
        if (!monitor.export_due(events_.now()))
            return;
        auto const message = monitor.export_evidence(events_.now());
        std::ostringstream bytes;
        cereal::PortableBinaryOutputArchive archive(bytes);
        archive(message);
        constexpr unsigned peers = scenario::instances / 2 - 1;
        control_bytes_ += peers * (bytes.str().size() + frame_bytes);
        for_each_peer(instance,
                      [this, message](unsigned peer)
                      {
                          proxies_[peer].monitor().merge(message,
                                                         events_.now());
                      });
    }

    /// The log accepts a record and every instance applies it later.
    template <typename Record>
    void append(Record const& record)
    {
        using namespace std::chrono_literals;
        core::log_offset const offset = ++last_offset_;
        for (unsigned i = 0; i < scenario::instances; ++i)
        {
            // Records reach an instance in the order of the log.
            auto& known_at = log_known_at_[i];
            known_at = std::max(known_at + 1ns,
                                events_.now() + 50ms + random_time(250ms));
            events_.at(known_at,
                       [this, i, record, offset]
                       {
                           apply(i, record, offset);
                       });
        }
    }

    template <typename Record>
    void apply(unsigned instance, Record const& record, core::log_offset offset)
    {
        std::visit(
            [&](auto const& typed)
            {
                static_cast<void>(proxies_[instance].ledger().apply(
                    typed, offset, setup_.service.ejection_budget()));
            },
            record);
        proxies_[instance].tick(events_.now());
    }

    /// Counts who is kept out of service, every 100 ms.
    void inspect()
    {
        unsigned const size = setup_.service.expected_upstreams;
        std::vector<bool> ejected(size);
        for (unsigned i = 0; i < scenario::instances; ++i)
            for (unsigned u = 0; u < size; ++u)
            {
                bool const ejects = proxies_[i].ejects(u, events_.now());
                bool const avoids = proxies_[i].avoids(u, events_.now());
                ejected[u] = ejected[u] || ejects;
                note_change(i, u, ejects, avoids);
            }
        auto const kept = std::count(ejected.begin(), ejected.end(), false);
        result_.min_healthy_fraction = std::min(
            result_.min_healthy_fraction, static_cast<double>(kept) / size);
    }

    void note_change(unsigned i, unsigned u, bool ejects, bool avoids)
    {
        auto& last = kept_out_[i * setup_.service.expected_upstreams + u];
        bool const is_right =
            setup_.is_sick(u, events_.now()) || is_unheard(i, u);
        if (ejects && !last.ejects)
            ++(is_right ? result_.right_ejections : result_.false_ejections);
        if (avoids && !last.avoids && !is_right)
            ++result_.false_avoidances;
        last = {ejects, avoids};
    }

    /// Finds when each sick upstream stopped receiving work (see --help).
    void measure_detection()
    {
        using namespace std::chrono_literals;
        constexpr core::duration window = 5s;
        for (unsigned u = 0; u < setup_.victims; ++u)
        {
            if (!setup_.is_sick(u, setup_.end))
                continue;
            auto const& arrivals = upstreams_[u].arrivals();
            if (setup_.fault == fault_kind::leaving)
                result_.after_leaving += static_cast<std::uint64_t>(
                    arrivals.end() - std::upper_bound(arrivals.begin(),
                                                      arrivals.end(),
                                                      setup_.fault_at + 3s));
            auto start = setup_.fault_at;
            while (start + window <= setup_.end && !is_idle(u, start, window))
            {
                auto const next =
                    std::upper_bound(arrivals.begin(), arrivals.end(), start);
                start = next == arrivals.end() ? setup_.end : *next;
            }
            if (start + window > setup_.end)
                ++result_.undetected;
            else
                result_.detection_ms.push_back(
                    std::chrono::duration<double, std::milli>(start -
                                                              setup_.fault_at)
                        .count());
        }
    }

    /// Whether an upstream received under 2% of its fair share in a window.
    bool
    is_idle(unsigned upstream, core::time_point start, core::duration window)
    {
        constexpr double idle_share = 0.02;
        auto const received = [&](fake_upstream const& one)
        {
            auto const& times = one.arrivals();
            auto const first =
                std::upper_bound(times.begin(), times.end(), start);
            auto const last =
                std::lower_bound(first, times.end(), start + window);
            return static_cast<double>(last - first);
        };
        double all = 0;
        for (auto const& one : upstreams_)
            all += received(one);
        double const fair = all / static_cast<double>(upstreams_.size());
        return received(upstreams_[upstream]) < idle_share * fair;
    }

    /// What an instance did with an upstream at the last inspection.
    struct kept_out
    {
        bool ejects = false;
        bool avoids = false;
    };

    /// What is measured.
    scenario setup_;
    /// The clock.
    event_queue events_;
    /// All random numbers.
    std::mt19937_64 random_;
    /// The upstreams; a deque, because events refer to them.
    std::deque<fake_upstream> upstreams_;
    /// The entry instances.
    std::deque<Proxy> proxies_;
    /// State at the last inspection.
    std::vector<kept_out> kept_out_;
    /// Offset of the last record in the log.
    core::log_offset last_offset_ = 0;
    /// When each instance last learned of a record.
    std::array<core::time_point, scenario::instances> log_known_at_{};
    /// Bytes of evidence that were sent.
    std::uint64_t control_bytes_ = 0;
    /// What was counted.
    measurements result_;
};

} // namespace kumquatloom::measure

#endif
