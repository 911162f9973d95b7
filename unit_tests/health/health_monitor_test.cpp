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

/// A cell of observers with a network that loses, delays and reorders.
struct cell
{
    explicit cell(unsigned size, document::detection_level level)
    {
        for (unsigned i = 0; i < size; ++i)
            observers.push_back(std::make_unique<observer>(i, level));
    }

    /// Every observer tries every upstream once; `attempt` gives the result
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

    /// Delivers everything that was sent to everybody, in order.
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

using attempt = std::pair<attempt_result, core::duration>;

attempt well()
{
    return {attempt_result::success, 20ms};
}

} // namespace

// Guards against an upstream that passes its probes, is slow, and stays.
TEST_CASE("a slow upstream is found, avoided and brought back slowly")
{
    cell all(4, document::detection_level::fast);
    for (int i = 0; i < 20; ++i)
        all.step(
            [](unsigned, unsigned)
            {
                return well();
            });
    auto const slow = [](unsigned, unsigned upstream)
    {
        return upstream == 3 ? attempt{attempt_result::success, 160ms} : well();
    };
    for (int i = 0; i < 10; ++i)
    {
        all.step(slow);
        all.deliver_all();
    }
    for (unsigned o = 0; o < 4; ++o)
        CHECK(all.standing(o, 3) == upstream_standing::avoided);
    CHECK(all.standing(0, 4) == upstream_standing::normal);
    auto& monitor = all.observers[0]->monitor;

    SECTION("both failure domains blame it, so that it may be ejected")
    {
        for (int i = 0; i < 10; ++i)
            all.step(slow);
        auto const found = monitor.ejection_candidates(all.now);
        REQUIRE(found.size() == 1);
        CHECK(found[0].domains == 2);
    }

    SECTION("successful probes do not end the avoidance early")
    {
        monitor.record_probe(id_of(3), true, all.now);
        monitor.tick(all.now + 1s);
        CHECK(monitor.standing(id_of(3), all.now + 1s) ==
              upstream_standing::avoided);

        SECTION("afterwards the upstream recovers with a rising weight")
        {
            auto const later = all.now + 6s;
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
        monitor.record_probe(id_of(3), false, all.now + 1s);
        monitor.tick(all.now + 30s);
        CHECK(monitor.standing(id_of(3), all.now + 30s) ==
              upstream_standing::avoided);
    }
}

// Guards against a service that loses its upstreams to its own overload.
TEST_CASE("a cause that most upstreams share takes nobody out")
{
    rc::prop(
        "for any mixture of lateness, errors and refusals at all upstreams",
        []
        {
            cell all(4, document::detection_level::fast);
            auto const bad_in_100 = *rc::gen::inRange(20, 100);
            auto const kind = *rc::gen::element(attempt_result::upstream_error,
                                                attempt_result::timeout,
                                                attempt_result::refused);
            auto state = *rc::gen::arbitrary<std::uint32_t>();
            for (int i = 0; i < 10; ++i)
                all.step(
                    [](unsigned, unsigned)
                    {
                        return well();
                    });
            for (int i = 0; i < 60; ++i)
            {
                all.step(
                    [&](unsigned, unsigned)
                    {
                        state = state * 1664525U + 1013904223U;
                        return static_cast<int>((state >> 16U) % 100) <
                                       bad_in_100
                                   ? attempt{kind, 200ms}
                                   : well();
                    });
                all.deliver_all();
                for (auto const& one : all.observers)
                    RC_ASSERT(
                        one->monitor.ejection_candidates(all.now).empty());
            }
        });
}

// Guards against one observer behind a one-way partition that takes healthy
// upstreams from everybody else.
TEST_CASE("what one observer alone cannot hear concerns that observer only")
{
    rc::prop(
        "for any set of unheard upstreams, with lost and reordered messages",
        []
        {
            cell all(6, document::detection_level::fast);
            auto const unheard = *rc::gen::inRange(1U, upstreams);
            for (int i = 0; i < 80; ++i)
            {
                all.step(
                    [&](unsigned o, unsigned u)
                    {
                        return i > 10 && o == 0 && u < unheard
                                   ? attempt{attempt_result::timeout, 1s}
                                   : well();
                    });
                // Any earlier message may arrive now, or never.
                for (unsigned o = 1; o < 6 && !all.sent.empty(); ++o)
                    all.observers[o]->monitor.merge(
                        all.sent[*rc::gen::inRange<std::size_t>(
                            0, all.sent.size())],
                        all.now);
                for (unsigned o = 0; o < 6; ++o)
                    for (auto const& one :
                         all.observers[o]->monitor.ejection_candidates(all.now))
                        RC_ASSERT(one.domains < 2);
                for (unsigned o = 1; o < 6; ++o)
                    for (unsigned u = 0; u < upstreams; ++u)
                        RC_ASSERT(all.standing(o, u) ==
                                  upstream_standing::normal);
            }
            // An observer that hears almost nobody doubts itself.
            if (unheard > upstreams / 2)
                RC_ASSERT(all.observers[0]->monitor.suspects_itself());
        });
}

// Guards against evidence that is counted twice, or lost with one message.
TEST_CASE("evidence is cumulative")
{
    cell all(2, document::detection_level::fast);
    auto& sender = all.observers[0]->monitor;
    auto& receiver = all.observers[1]->monitor;
    auto const fail = [&](int times)
    {
        for (int i = 0; i < times; ++i)
            sender.record({id_of(0), attempt_result::upstream_error, 1ms, 1s},
                          all.now);
        return sender.export_evidence(all.now);
    };
    auto const first = fail(2);
    auto const second = fail(3);
    REQUIRE(first.entries.size() == 1);
    CHECK(first.entries[0].counts.error == 2);
    CHECK(second.entries[0].counts.error == 5);

    SECTION("a message that comes late is dropped")
    {
        receiver.merge(second, all.now);
        receiver.merge(first, all.now);
        receiver.merge(second, all.now);
        for (int i = 0; i < 3; ++i)
            receiver.record({id_of(0), attempt_result::upstream_error, 1ms, 1s},
                            all.now);
        auto const own = receiver.export_evidence(all.now);
        REQUIRE(own.entries.size() == 1);
        CHECK(own.entries[0].counts.error == 3);
    }

    SECTION("evidence of another service is ignored")
    {
        auto other = second;
        other.service = core::service_name("settle");
        receiver.merge(other, all.now);
        CHECK(receiver.export_evidence(all.now).entries.empty());
    }
}
