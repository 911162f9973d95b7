#include <kumquatloom/health/ejection_ledger.hpp>
#include <kumquatloom/health/ejection_limiter.hpp>
#include <kumquatloom/health/ejection_proposer.hpp>
#include <kumquatloom/health/ejection_view.hpp>
#include <kumquatloom/health/evaluate_standings.hpp>
#include <kumquatloom/health/health_monitor.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace
{

using namespace kumquatloom;
using namespace std::chrono_literals;

core::service_name const service("settle");
constexpr unsigned upstreams = 8;
constexpr unsigned floor_upstreams = 6;
constexpr unsigned budget = 2;

std::vector<health::tracked_upstream> tracked_upstreams()
{
    std::vector<health::tracked_upstream> tracked;
    for (unsigned i = 0; i < upstreams; ++i)
        tracked.push_back(
            {core::upstream_id(std::to_string(i)), core::region("r"), {}});
    return tracked;
}

/// An instance that reads the log with a delay, or not at all while it is
/// partitioned.
struct instance
{
    explicit instance(unsigned number)
        : monitor({service,
                   core::instance_id("entry-" + std::to_string(number)),
                   core::failure_domain("domain-" + std::to_string(number % 2)),
                   health::outlier_detector_settings::for_level(
                       document::detection_level::fast)})
        , proposer(service)
    {
        monitor.track(tracked_upstreams(), {});
    }

    health::health_monitor monitor;
    health::ejection_ledger ledger;
    health::ejection_proposer proposer;
    std::size_t applied = 0;
    core::time_point fresh_as_of;
};

/// A log and four instances that can be partitioned from the log and from each
/// other.
struct fleet
{
    fleet()
    {
        for (unsigned i = 0; i < 4; ++i)
            instances.push_back(std::make_unique<instance>(i));
    }

    /// Applies the log up to its end, or only the next record.
    void read(instance& reader, bool to_end)
    {
        std::size_t const end =
            to_end ? log.size() : std::min(reader.applied + 1, log.size());
        for (; reader.applied < end; ++reader.applied)
            std::visit(
                [&](auto const& record)
                {
                    static_cast<void>(reader.ledger.apply(
                        record, reader.applied + 1, budget));
                },
                log[reader.applied]);
        if (to_end)
            reader.fresh_as_of = now;
    }

    /// Every instance records failures of `upstream` and successes of all
    /// others but `skipped_upstream`, which it does not try, and sends its
    /// evidence.
    void record_failures(unsigned upstream, unsigned skipped_upstream)
    {
        core::upstream_id const id(std::to_string(upstream));
        core::upstream_id const skipped(std::to_string(skipped_upstream));
        for (auto const& observer : instances)
            for (unsigned i = 0; i < 8 * upstreams; ++i)
            {
                core::upstream_id const tried(std::to_string(i % upstreams));
                auto const result = tried == id
                                        ? health::attempt_result::upstream_error
                                        : health::attempt_result::success;
                if (tried != skipped)
                    observer->monitor.record({tried, result, 1ms, 1s}, now);
            }
        for (auto const& sender : instances)
            messages.push_back(sender->monitor.export_evidence(now));
    }

    /// Delivers one of the last messages. Messages that are never delivered
    /// count as lost.
    void deliver(std::size_t age, std::size_t to)
    {
        if (age < messages.size())
            instances[to]->monitor.merge(messages[messages.size() - 1 - age],
                                         now);
    }

    /// The writer proposes a record as if it were the designated writer. The
    /// append always succeeds; the writer only sees it at its next read.
    void propose(instance& writer)
    {
        std::vector<core::upstream_id> live;
        for (auto const& item : tracked_upstreams())
            live.push_back(item.id);
        std::string const id = std::to_string(log.size());
        bool const is_fresh = now - writer.fresh_as_of < health::ejection_lease;
        if (auto const record =
                writer.proposer.propose(writer.monitor,
                                        {writer.ledger.slots(service),
                                         budget,
                                         true,
                                         is_fresh,
                                         2,
                                         live,
                                         id},
                                        now))
            log.push_back(*record);
    }

    /// Returns the upstreams that any instance ejects; checks the floor of each
    /// instance.
    std::set<core::upstream_id> ejected_by_any()
    {
        std::vector<core::upstream_id> live;
        for (auto const& item : tracked_upstreams())
            live.push_back(item.id);
        std::set<core::upstream_id> ejected;
        for (auto const& observer : instances)
        {
            health::ejection_view const view(observer->ledger.slots(service),
                                             observer->fresh_as_of);
            unsigned kept = 0;
            for (auto const& decision : health::evaluate_standings(
                     observer->monitor,
                     view,
                     health::ejection_limiter(floor_upstreams, budget),
                     live,
                     now))
            {
                if (decision.standing == health::upstream_standing::ejected)
                    ejected.insert(decision.upstream);
                else
                    ++kept;
            }
            RC_ASSERT(kept >= floor_upstreams);
        }
        return ejected;
    }

    core::time_point now{1h};
    std::vector<health::ejection_proposer::proposal> log;
    std::vector<std::unique_ptr<instance>> instances;
    std::vector<health::evidence_message> messages;
};

} // namespace

// Guards against ejections by different instances that exceed the budget
// together. This can happen if some instances are partitioned, if evidence is
// lost, late or reordered, or if two instances act as the writer at once.
TEST_CASE("the union of all ejections stays within the budget")
{
    std::size_t ejections = 0;
    std::size_t reclaimed = 0;
    rc::prop(
        "for any order of faults, reads, messages and proposals",
        [&]
        {
            fleet simulation;
            unsigned failing_offset = 0;
            for (unsigned step = 0; step < 900; ++step)
            {
                simulation.now += std::chrono::milliseconds(
                    *rc::gen::element(50, 100, 100, 800));
                // The two writers read the log more often than the others.
                auto& reader =
                    *simulation
                         .instances[*rc::gen::weightedElement<std::size_t>(
                             {{4, 0}, {4, 1}, {1, 2}, {1, 3}})];
                switch (*rc::gen::inRange(0, 10))
                {
                case 0:
                    // Upstreams n and n + 1 are unhealthy, where n increases
                    // every 150 steps. In each call, one of them fails and the
                    // other one is not tried.
                    failing_offset = *rc::gen::inRange(0U, 2U);
                    simulation.record_failures(
                        (step / 150 + failing_offset) % upstreams,
                        (step / 150 + 1 - failing_offset) % upstreams);
                    for (std::size_t age = 4; age-- > 0;)
                        simulation.deliver(
                            age, *rc::gen::inRange<std::size_t>(0, 4));
                    break;
                case 1:
                case 2:
                case 3:
                    simulation.deliver(*rc::gen::inRange<std::size_t>(0, 12),
                                       *rc::gen::inRange<std::size_t>(0, 2));
                    break;
                case 4:
                    simulation.read(reader, false);
                    break;
                case 5:
                case 6:
                    simulation.read(reader, true);
                    break;
                default:
                    // Two instances act as the writer. They usually read the
                    // log first.
                    auto& writer =
                        *simulation
                             .instances[*rc::gen::inRange<std::size_t>(0, 2)];
                    if (*rc::gen::inRange(0, 3) > 0)
                        simulation.read(writer, true);
                    for (unsigned i = 0; i < upstreams; ++i)
                        writer.monitor.record_probe(
                            core::upstream_id(std::to_string(i)),
                            true,
                            simulation.now);
                    writer.monitor.tick(simulation.now);
                    simulation.propose(writer);
                    break;
                }
                RC_ASSERT(simulation.ejected_by_any().size() <= budget);
            }
            for (auto const& record : simulation.log)
                if (auto const* const eject =
                        std::get_if<health::eject_record>(&record))
                {
                    ++ejections;
                    reclaimed += eject->release != 0 ? 1 : 0;
                }
        });
    // The property also holds if no upstream is ejected, which would prove
    // nothing.
    INFO(ejections << " ejections, " << reclaimed << " into released slots");
    CHECK(ejections > 0);
    CHECK(reclaimed > 0);
}

// Guards against a writer that claims a released slot while a partitioned
// instance still applies the previous ejection in that slot.
TEST_CASE("a writer waits one lease before it claims a released slot")
{
    fleet simulation;
    auto& writer = *simulation.instances[0];
    auto& reader = *simulation.instances[2];
    core::time_point released_at;
    bool reader_is_partitioned = false;
    std::size_t reclaimed = 0;
    for (unsigned step = 0; step < 400 && reclaimed == 0; ++step)
    {
        simulation.now += 250ms;
        // Both slots are occupied first; then other upstreams fail while the
        // first ones are readmitted.
        unsigned const first = step < 40 ? 0 : 4;
        simulation.record_failures(first + step % 2, first + (step + 1) % 2);
        for (std::size_t age = 4; age-- > 0;)
            simulation.deliver(age, 0);
        for (unsigned i = 0; i < upstreams; ++i)
            writer.monitor.record_probe(
                core::upstream_id(std::to_string(i)), true, simulation.now);
        simulation.read(writer, true);
        if (!reader_is_partitioned)
            simulation.read(reader, true);
        writer.monitor.tick(simulation.now);
        std::size_t const before = simulation.log.size();
        simulation.propose(writer);
        CHECK(simulation.ejected_by_any().size() <= budget);
        if (simulation.log.size() == before)
            continue;
        if (std::holds_alternative<health::readmit_record>(
                simulation.log.back()))
        {
            // The reader misses the release; the writer reads it in the next
            // step.
            reader_is_partitioned = true;
            if (released_at == core::time_point{})
                released_at = simulation.now + 250ms;
        }
        else if (reader_is_partitioned)
        {
            ++reclaimed;
            CHECK(simulation.now - released_at >= health::ejection_lease);
            simulation.read(writer, true);
            CHECK(simulation.ejected_by_any().size() <= budget);
        }
    }
    CHECK(reclaimed == 1);
}
