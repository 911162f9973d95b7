#include <kumquatloom/health/health_monitor.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <chrono>
#include <memory>
#include <string>

namespace
{

using namespace kumquatloom;
using namespace std::chrono_literals;
using health::attempt_result;
using health::upstream_standing;

constexpr unsigned upstreams = 12;
core::time_point const start{1h};

core::upstream_id id_of(unsigned upstream)
{
    return core::upstream_id(std::to_string(upstream));
}

/// An observer with its own recorders.
struct observer
{
    observer(unsigned number, document::detection_level level)
        : monitor({core::service_name("storefront"),
                   core::instance_id("entry-" + std::to_string(number)),
                   core::failure_domain(number % 2 == 0 ? "west" : "east"),
                   health::outlier_detector_settings::for_level(level)})
    {
        std::vector<health::tracked_upstream> tracked;
        for (unsigned i = 0; i < upstreams; ++i)
        {
            recorders.emplace_back(new health::attempt_recorder);
            tracked.push_back(
                {id_of(i), core::region("nairobi"), recorders.back()});
        }
        monitor.track(tracked, start);
    }

    std::vector<boost::intrusive_ptr<health::attempt_recorder>> recorders;
    health::health_monitor monitor;
};

/// A cell of observers whose messages can be lost, delayed and reordered.
struct cell
{
    explicit cell(unsigned size, document::detection_level level)
    {
        for (unsigned i = 0; i < size; ++i)
            observers.push_back(std::make_unique<observer>(i, level));
    }

    /// Every observer tries every upstream once; `attempt` returns the result
    /// and the latency.
    template <typename Attempt>
    void step(Attempt attempt)
    {
        now += health::health_monitor::tick_interval;
        for (unsigned o = 0; o < observers.size(); ++o)
        {
            for (unsigned u = 0; u < upstreams; ++u)
            {
                auto const [result, latency] = attempt(o, u);
                observers[o]->recorders[u]->record(result, latency);
            }
            observers[o]->monitor.tick(now);
            if (observers[o]->monitor.export_due(now))
                sent.push_back(observers[o]->monitor.export_evidence(now));
        }
    }

    /// Delivers all sent messages to all observers, in order.
    void deliver_all()
    {
        for (auto const& message : sent)
            for (auto& receiver : observers)
                receiver->monitor.merge(message, now);
        sent.clear();
    }

    upstream_standing standing(unsigned observer, unsigned upstream) const
    {
        return observers[observer]->monitor.standing(id_of(upstream), now);
    }

    core::time_point now = start;
    std::vector<std::unique_ptr<observer>> observers;
    std::vector<health::evidence_message> sent;
};

using attempt_sample = std::pair<attempt_result, core::duration>;

attempt_sample success_after_20ms()
{
    return {attempt_result::success, 20ms};
}

} // namespace

// Guards against a slow upstream that stays in service because it passes its
// health probes.
TEST_CASE("a slow upstream is detected, avoided and recovers gradually")
{
    cell simulation(4, document::detection_level::fast);
    for (int i = 0; i < 20; ++i)
        simulation.step(
            [](unsigned, unsigned)
            {
                return success_after_20ms();
            });
    auto const slow = [](unsigned, unsigned upstream)
    {
        return upstream == 3 ? attempt_sample{attempt_result::success, 160ms}
                             : success_after_20ms();
    };
    for (int i = 0; i < 10; ++i)
    {
        simulation.step(slow);
        simulation.deliver_all();
    }
    for (unsigned o = 0; o < 4; ++o)
        CHECK(simulation.standing(o, 3) == upstream_standing::avoided);
    CHECK(simulation.standing(0, 4) == upstream_standing::normal);
    auto& monitor = simulation.observers[0]->monitor;

    SECTION("both failure domains report it, so that it may be ejected")
    {
        for (int i = 0; i < 10; ++i)
            simulation.step(slow);
        auto const found = monitor.ejection_candidates(simulation.now);
        REQUIRE(found.size() == 1);
        CHECK(found[0].domains == 2);
    }

    SECTION("successful probes do not end the avoidance early")
    {
        monitor.record_probe(id_of(3), true, simulation.now);
        monitor.tick(simulation.now + 1s);
        CHECK(monitor.standing(id_of(3), simulation.now + 1s) ==
              upstream_standing::avoided);

        SECTION("afterwards the upstream recovers with a rising weight")
        {
            auto const later = simulation.now + 6s;
            monitor.tick(later);
            CHECK(monitor.standing(id_of(3), later) ==
                  upstream_standing::recovering);
            CHECK(monitor.weight(id_of(3), later) < 0.2);
            CHECK(monitor.weight(id_of(3), later + 5s) > 0.5);

            SECTION("a relapse is avoided for twice as long")
            {
                for (int i = 0; i < 20; ++i)
                    monitor.record({id_of(3), attempt_result::timeout, 1s, 1s},
                                   later);
                monitor.tick(later + 100ms);
                monitor.record_probe(id_of(3), true, later + 1s);
                monitor.tick(later + 9s);
                CHECK(monitor.standing(id_of(3), later + 9s) ==
                      upstream_standing::avoided);
                monitor.tick(later + 11s);
                CHECK(monitor.standing(id_of(3), later + 11s) ==
                      upstream_standing::recovering);
            }
        }
    }

    SECTION("a failed probe prolongs the avoidance")
    {
        monitor.record_probe(id_of(3), false, simulation.now + 1s);
        monitor.tick(simulation.now + 30s);
        CHECK(monitor.standing(id_of(3), simulation.now + 30s) ==
              upstream_standing::avoided);
    }
}

// Guards against the ejection of healthy upstreams in an overload, when most
// upstreams show failures at once.
TEST_CASE("a fault that most upstreams share does not eject any of them")
{
    rc::prop(
        "for any mixture of lateness, errors and refusals at all upstreams",
        []
        {
            cell simulation(4, document::detection_level::fast);
            auto const bad_in_100 = *rc::gen::inRange(20, 100);
            auto const kind = *rc::gen::element(attempt_result::upstream_error,
                                                attempt_result::timeout,
                                                attempt_result::refused);
            auto random_state = *rc::gen::arbitrary<std::uint32_t>();
            for (int i = 0; i < 10; ++i)
                simulation.step(
                    [](unsigned, unsigned)
                    {
                        return success_after_20ms();
                    });
            for (int i = 0; i < 60; ++i)
            {
                simulation.step(
                    [&](unsigned, unsigned)
                    {
                        random_state = random_state * 1664525U + 1013904223U;
                        return static_cast<int>((random_state >> 16U) % 100) <
                                       bad_in_100
                                   ? attempt_sample{kind, 200ms}
                                   : success_after_20ms();
                    });
                simulation.deliver_all();
                for (auto const& one : simulation.observers)
                    RC_ASSERT(one->monitor.ejection_candidates(simulation.now)
                                  .empty());
            }
        });
}

// Guards against one observer behind a one-way partition whose evidence takes
// healthy upstreams out of service for all instances.
TEST_CASE("failures that only one observer sees do not affect the others")
{
    rc::prop(
        "for any set of unreachable upstreams and lost or reordered messages",
        []
        {
            cell simulation(6, document::detection_level::fast);
            auto const unreachable = *rc::gen::inRange(1U, upstreams);
            for (int i = 0; i < 80; ++i)
            {
                simulation.step(
                    [&](unsigned o, unsigned u)
                    {
                        return i > 10 && o == 0 && u < unreachable
                                   ? attempt_sample{attempt_result::timeout, 1s}
                                   : success_after_20ms();
                    });
                // Each observer but the first receives a random message of
                // those sent so far, so that messages are lost, duplicated and
                // reordered.
                for (unsigned o = 1; o < 6 && !simulation.sent.empty(); ++o)
                    simulation.observers[o]->monitor.merge(
                        simulation.sent[*rc::gen::inRange<std::size_t>(
                            0, simulation.sent.size())],
                        simulation.now);
                for (unsigned o = 0; o < 6; ++o)
                    for (auto const& candidate :
                         simulation.observers[o]->monitor.ejection_candidates(
                             simulation.now))
                        RC_ASSERT(candidate.domains < 2);
                for (unsigned o = 1; o < 6; ++o)
                    for (unsigned u = 0; u < upstreams; ++u)
                        RC_ASSERT(simulation.standing(o, u) ==
                                  upstream_standing::normal);
            }
            // An observer that gets no response from most upstreams
            // suspects a local fault.
            if (unreachable > upstreams / 2)
                RC_ASSERT(
                    simulation.observers[0]->monitor.suspects_local_fault());
        });
}

// Guards against evidence that is lost because one message is lost, and against
// evidence that is counted twice because a receiver exports it as its own.
TEST_CASE("evidence is cumulative")
{
    cell simulation(2, document::detection_level::fast);
    auto& sender = simulation.observers[0]->monitor;
    auto& receiver = simulation.observers[1]->monitor;
    auto const fail = [&](int times)
    {
        for (int i = 0; i < times; ++i)
            sender.record({id_of(0), attempt_result::upstream_error, 1ms, 1s},
                          simulation.now);
        return sender.export_evidence(simulation.now);
    };
    auto const first = fail(2);
    auto const second = fail(3);
    REQUIRE(first.entries.size() == 1);
    CHECK(first.entries[0].counts.error == 2);
    CHECK(second.entries[0].counts.error == 5);

    SECTION("an outdated message is dropped")
    {
        receiver.merge(second, simulation.now);
        receiver.merge(first, simulation.now);
        receiver.merge(second, simulation.now);
        for (int i = 0; i < 3; ++i)
            receiver.record({id_of(0), attempt_result::upstream_error, 1ms, 1s},
                            simulation.now);
        auto const own = receiver.export_evidence(simulation.now);
        REQUIRE(own.entries.size() == 1);
        CHECK(own.entries[0].counts.error == 3);
    }

    SECTION("evidence of another service is ignored")
    {
        auto other = second;
        other.service = core::service_name("settle");
        receiver.merge(other, simulation.now);
        CHECK(receiver.export_evidence(simulation.now).entries.empty());
    }
}
