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

/// Discrete-event simulation of one run: the upstreams of a service, 48 entry
/// instances with one policy, their callers, the exchange of evidence and the
/// log.
template <typename Proxy>
class simulation
{
public:
    explicit simulation(scenario const& setup)
        : scenario_(setup)
        , random_(setup.seed)
    {
        for (unsigned i = 0; i < setup.service.expected_upstreams; ++i)
            upstreams_.emplace_back(scenario_,
                                    i,
                                    events_,
                                    random_,
                                    [this](attempt_pointer const& attempt)
                                    {
                                        send_response(attempt);
                                    });
        for (unsigned i = 0; i < scenario::instances; ++i)
            proxies_.emplace_back(scenario_, i);
        exclusions_.resize(scenario::instances *
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
            // Instances poll the list every 500 ms.
            repeat(random_time(500ms),
                   500ms,
                   [this, i, is_updated = false]() mutable
                   {
                       if (is_updated || events_.now() < scenario_.fault_at +
                                                             scenario::list_lag)
                           return;
                       is_updated = true;
                       proxies_[i].update_list(events_.now());
                   });
            if constexpr (Proxy::shares_evidence)
                start_probes(i);
        }
        repeat(100ms,
               100ms,
               [this]
               {
                   sample_standings();
               });
        events_.after(next_arrival(),
                      [this]
                      {
                          arrive();
                      });
        events_.run_until(scenario_.end);
        measure_detection();
        result_.control_bytes_per_instance_per_s =
            static_cast<double>(control_bytes_) / scenario::instances /
            std::chrono::duration<double>(scenario_.end - core::time_point{})
                .count();
        return result_;
    }

private:
    /// Framing overhead of a message between instances, in bytes.
    static constexpr std::size_t frame_bytes = 80;
    /// Fraction of messages between instances that are lost.
    static constexpr double message_loss = 0.01;
    /// Number of upstreams, in the failure domain of the first instance, whose
    /// responses do not reach this instance in the one-way fault.
    static constexpr unsigned one_way_upstreams = 3;

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

    /// Runs an action periodically.
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

    /// Time to the next request; arrivals are a Poisson process.
    core::duration next_arrival()
    {
        constexpr double overload = 1.5;
        bool const is_overloaded = scenario_.fault == fault_kind::overload &&
                                   events_.now() >= scenario_.fault_at;
        double const slots =
            scenario_.service.expected_upstreams * scenario_.service.slots;
        double const rate =
            (is_overloaded ? overload : scenario_.load) * slots /
            std::chrono::duration<double>(scenario::service_time).count();
        std::exponential_distribution<double> gap(rate);
        return std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(gap(random_)));
    }

    /// Lets a request arrive at an entry instance, and schedules the next.
    void arrive()
    {
        boost::intrusive_ptr<simulated_request> const request(
            new simulated_request);
        request->instance =
            static_cast<unsigned>(random_() % scenario::instances);
        request->is_idempotent = happens(scenario::idempotent_fraction);
        request->start = events_.now();
        request->deadline = events_.now() + scenario_.service.timeout;
        ++result_.requests;
        send_attempt(request);
        events_.after(next_arrival(),
                      [this]
                      {
                          arrive();
                      });
    }

    /// Sends one attempt of a request.
    void send_attempt(boost::intrusive_ptr<simulated_request> const& request)
    {
        attempt_pointer const attempt(new simulated_attempt);
        attempt->request = request;
        attempt->sent = events_.now();
        if (!proxies_[request->instance].choose(
                *attempt, random_(), events_.now()))
        {
            // Without an upstream, the outcome is not-run only if no earlier
            // attempt may have run.
            end_request(*request,
                        request->may_have_run ? request_outcome::unknown
                                              : request_outcome::not_run);
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
                       end_attempt(attempt, health::attempt_result::timeout);
                   });
    }

    core::duration latency_of(simulated_attempt const& attempt)
    {
        auto const base = scenario::latency(
            scenario::domain_of_instance(attempt.request->instance),
            scenario::domain_of_upstream(attempt.upstream));
        return base + random_time(base / 10);
    }

    void count_bytes(simulated_attempt const& attempt)
    {
        if (scenario::domain_of_instance(attempt.request->instance) / 2 !=
            scenario::domain_of_upstream(attempt.upstream) / 2)
            result_.cross_region_bytes += scenario::exchange_bytes;
    }

    /// Sends a response back over the network.
    void send_response(attempt_pointer const& attempt)
    {
        if (drops_response(attempt->request->instance, attempt->upstream))
            return;
        events_.after(latency_of(*attempt),
                      [this, attempt]
                      {
                          end_attempt(attempt, attempt->result);
                      });
    }

    /// Whether the one-way fault drops an upstream's responses to an instance.
    bool drops_response(unsigned instance, unsigned upstream) const
    {
        return scenario_.fault == fault_kind::one_way &&
               events_.now() >= scenario_.fault_at && instance == 0 &&
               scenario::domain_of_upstream(upstream) ==
                   scenario::domain_of_instance(0) &&
               upstream / scenario::domains < one_way_upstreams;
    }

    /// Outcome of a request for its caller.
    enum class request_outcome
    {
        completed,
        not_run,
        unknown
    };

    /// Finishes an attempt at its entry instance, unless it has finished.
    void end_attempt(attempt_pointer const& attempt,
                     health::attempt_result result)
    {
        if (attempt->ended)
            return;
        attempt->ended = true;
        auto& request = *attempt->request;
        auto& proxy = proxies_[request.instance];
        bool const has_response = result != health::attempt_result::timeout;
        if (has_response && attempt->reports_leaving)
            broadcast_leaving(request.instance, attempt->upstream);
        bool const is_wrong = result == health::attempt_result::wrong_answer;
        if (is_wrong && !Proxy::verifies_responses)
        {
            result = health::attempt_result::success;
            ++result_.wrong_answers;
        }
        proxy.finish_attempt(*attempt, result, events_.now());
        if (result != health::attempt_result::refused)
            request.may_have_run = true;
        if (result == health::attempt_result::success)
            end_request(request, request_outcome::completed);
        else if (events_.now() < request.deadline &&
                 proxy.may_retry(request, result))
            send_attempt(attempt->request);
        else
            end_request(request,
                        request.may_have_run ? request_outcome::unknown
                                             : request_outcome::not_run);
    }

    /// Counts a request with its final outcome.
    void end_request(simulated_request const& request, request_outcome outcome)
    {
        if (outcome != request_outcome::completed ||
            events_.now() - request.start > scenario::late_after)
            ++result_.late;
        if (outcome == request_outcome::not_run)
        {
            ++result_.not_run;
            result_.false_not_run += request.executions > 0 ? 1 : 0;
        }
        if (outcome == request_outcome::unknown)
            ++result_.unknown;
        if (!request.is_idempotent && request.executions > 1)
            ++result_.double_executions;
    }

    /// Notifies all instances of the cell that an upstream leaves.
    void broadcast_leaving(unsigned from, unsigned upstream)
    {
        proxies_[from].on_leaving(upstream);
        for_each_peer(from,
                      [this, upstream](unsigned peer)
                      {
                          proxies_[peer].on_leaving(upstream);
                      });
    }

    /// Delivers a message to each other instance of the cell, with random loss.
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

    /// Starts the periodic health probes of an instance.
    void start_probes(unsigned instance)
    {
        using namespace std::chrono_literals;
        constexpr core::duration probe_interval = 5s;
        // The simulated faults are gray failures: every probe succeeds.
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

    /// Appends a record to the log; each instance applies it after a delay.
    template <typename Record>
    void append(Record const& record)
    {
        using namespace std::chrono_literals;
        core::log_offset const offset = ++last_offset_;
        for (unsigned i = 0; i < scenario::instances; ++i)
        {
            // Each instance receives records in log order.
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
                    typed, offset, scenario_.service.ejection_budget()));
            },
            record);
        proxies_[instance].tick(events_.now());
    }

    /// Samples which upstreams are ejected or avoided; runs every 100 ms.
    void sample_standings()
    {
        unsigned const size = scenario_.service.expected_upstreams;
        std::vector<bool> ejected(size);
        for (unsigned i = 0; i < scenario::instances; ++i)
            for (unsigned u = 0; u < size; ++u)
            {
                bool const is_ejected =
                    proxies_[i].is_ejected(u, events_.now());
                bool const is_avoided =
                    proxies_[i].is_avoided(u, events_.now());
                ejected[u] = ejected[u] || is_ejected;
                count_change(i, u, is_ejected, is_avoided);
            }
        auto const remaining =
            std::count(ejected.begin(), ejected.end(), false);
        result_.min_healthy_fraction =
            std::min(result_.min_healthy_fraction,
                     static_cast<double>(remaining) / size);
    }

    void count_change(unsigned instance,
                      unsigned upstream,
                      bool is_ejected,
                      bool is_avoided)
    {
        auto& last =
            exclusions_[instance * scenario_.service.expected_upstreams +
                        upstream];
        bool const is_justified =
            scenario_.is_unhealthy(upstream, events_.now()) ||
            drops_response(instance, upstream);
        if (is_ejected && !last.is_ejected)
            ++(is_justified ? result_.right_ejections
                            : result_.false_ejections);
        if (is_avoided && !last.is_avoided && !is_justified)
            ++result_.false_avoidances;
        last = {is_ejected, is_avoided};
    }

    /// Determines when each unhealthy upstream stopped receiving requests (see
    /// --help).
    void measure_detection()
    {
        using namespace std::chrono_literals;
        constexpr core::duration window = 5s;
        for (unsigned u = 0; u < scenario_.victims; ++u)
        {
            if (!scenario_.is_unhealthy(u, scenario_.end))
                continue;
            auto const& arrivals = upstreams_[u].arrivals();
            if (scenario_.fault == fault_kind::leaving)
                result_.after_leaving += static_cast<std::uint64_t>(
                    arrivals.end() - std::upper_bound(arrivals.begin(),
                                                      arrivals.end(),
                                                      scenario_.fault_at + 3s));
            auto start = scenario_.fault_at;
            while (start + window <= scenario_.end &&
                   !is_idle(u, start, window))
            {
                auto const next =
                    std::upper_bound(arrivals.begin(), arrivals.end(), start);
                start = next == arrivals.end() ? scenario_.end : *next;
            }
            if (start + window > scenario_.end)
                ++result_.undetected;
            else
                result_.detection_ms.push_back(
                    std::chrono::duration<double, std::milli>(
                        start - scenario_.fault_at)
                        .count());
        }
    }

    /// Whether an upstream received under 2% of its fair share in a window.
    bool
    is_idle(unsigned upstream, core::time_point start, core::duration window)
    {
        constexpr double idle_share = 0.02;
        auto const received = [&](fake_upstream const& target)
        {
            auto const& times = target.arrivals();
            auto const first =
                std::upper_bound(times.begin(), times.end(), start);
            auto const last =
                std::lower_bound(first, times.end(), start + window);
            return static_cast<double>(last - first);
        };
        double total = 0;
        for (auto const& target : upstreams_)
            total += received(target);
        double const fair_share =
            total / static_cast<double>(upstreams_.size());
        return received(upstreams_[upstream]) < idle_share * fair_share;
    }

    /// Standing of an upstream at an instance, at the last sample.
    struct exclusion_state
    {
        bool is_ejected = false;
        bool is_avoided = false;
    };

    /// Parameters of the run.
    scenario scenario_;
    /// The scheduled events and the simulated clock.
    event_queue events_;
    /// Random number generator of the run.
    std::mt19937_64 random_;
    /// The upstreams; a deque, because scheduled events refer to them.
    std::deque<fake_upstream> upstreams_;
    /// The entry instances.
    std::deque<Proxy> proxies_;
    /// Standings at the last sample, by instance and upstream.
    std::vector<exclusion_state> exclusions_;
    /// Offset of the last record in the log.
    core::log_offset last_offset_ = 0;
    /// When each instance receives the latest record of the log.
    std::array<core::time_point, scenario::instances> log_known_at_{};
    /// Bytes of evidence sent by all instances.
    std::uint64_t control_bytes_ = 0;
    /// Results so far.
    measurements result_;
};

} // namespace kumquatloom::measure

#endif
