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

/// An instance that reads the log late, and not at all while it is cut off.
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
    std::size_t known = 0;
    core::time_point fresh_as_of;
};

/// A log and a few instances that may lose contact with it and each other.
struct fleet
{
    fleet()
    {
        for (unsigned i = 0; i < 4; ++i)
            instances.push_back(std::make_unique<instance>(i));
    }

    /// Reads the log of now, as far as the instance gets.
    void read(instance& reader, bool whole)
    {
        std::size_t const end =
            whole ? log.size() : std::min(reader.known + 1, log.size());
        for (; reader.known < end; ++reader.known)
            std::visit(
                [&](auto const& record)
                {
                    static_cast<void>(
                        reader.ledger.apply(record, reader.known + 1, budget));
                },
                log[reader.known]);
        if (whole)
            reader.fresh_as_of = now;
    }

    /// All observers blame one upstream and find the others well, except for
    /// a second one that they do not try.
    void blame(unsigned upstream, unsigned untried)
    {
        core::upstream_id const id(std::to_string(upstream));
        core::upstream_id const skipped(std::to_string(untried));
        for (auto const& one : instances)
            for (unsigned i = 0; i < 8 * upstreams; ++i)
            {
                core::upstream_id const tried(std::to_string(i % upstreams));
                auto const result = tried == id
                                        ? health::attempt_result::upstream_error
                                        : health::attempt_result::success;
                if (tried != skipped)
                    one->monitor.record({tried, result, 1ms, 1s}, now);
            }
        for (auto const& from : instances)
            messages.push_back(from->monitor.export_evidence(now));
    }

    /// Delivers one of the last messages; others are lost.
    void deliver(std::size_t age, std::size_t to)
    {
        if (age < messages.size())
            instances[to]->monitor.merge(messages[messages.size() - 1 - age],
                                         now);
    }

    /// Every instance that may be the writer proposes; the append succeeds
    /// even where the writer does not see the reply.
    void propose(instance& writer)
    {
        std::vector<core::upstream_id> live;
        for (auto const& one : tracked_upstreams())
            live.push_back(one.id);
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

    /// What the instances eject, all together; checks each view's floor.
    std::set<core::upstream_id> union_of_ejections()
    {
        std::vector<core::upstream_id> live;
        for (auto const& one : tracked_upstreams())
            live.push_back(one.id);
        std::set<core::upstream_id> ejected;
        for (auto const& one : instances)
        {
            health::ejection_view const view(one->ledger.slots(service),
                                             one->fresh_as_of);
            unsigned kept = 0;
            for (auto const& decision : health::evaluate_standings(
                     one->monitor,
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

// Guards against ejections that add up to more than the budget while some
// instances are cut off, evidence is lost, late or reordered, and two
// instances take themselves for the writer.
TEST_CASE("the union of all ejections stays within the budget")
{
    std::size_t ejections = 0;
    std::size_t reclaimed = 0;
    rc::prop(
        "for any order of faults, reads, messages and proposals",
        [&]
        {
            fleet all;
            unsigned second = 0;
            for (unsigned step = 0; step < 900; ++step)
            {
                all.now += std::chrono::milliseconds(
                    *rc::gen::element(50, 100, 100, 800));
                // The two writers read the log more often than the others.
                auto& one =
                    *all.instances[*rc::gen::weightedElement<std::size_t>(
                        {{4, 0}, {4, 1}, {1, 2}, {1, 3}})];
                switch (*rc::gen::inRange(0, 10))
                {
                case 0:
                    // Two upstreams at a time are sick; later two others.
                    second = *rc::gen::inRange(0U, 2U);
                    all.blame((step / 150 + second) % upstreams,
                              (step / 150 + 1 - second) % upstreams);
                    for (std::size_t age = 4; age-- > 0;)
                        all.deliver(age, *rc::gen::inRange<std::size_t>(0, 4));
                    break;
                case 1:
                case 2:
                case 3:
                    all.deliver(*rc::gen::inRange<std::size_t>(0, 12),
                                *rc::gen::inRange<std::size_t>(0, 2));
                    break;
                case 4:
                    all.read(one, false);
                    break;
                case 5:
                case 6:
                    all.read(one, true);
                    break;
                default:
                    // Two instances take themselves for the writer. Most of
                    // the time they have just read the log.
                    auto& writer =
                        *all.instances[*rc::gen::inRange<std::size_t>(0, 2)];
                    if (*rc::gen::inRange(0, 3) > 0)
                        all.read(writer, true);
                    for (unsigned i = 0; i < upstreams; ++i)
                        writer.monitor.record_probe(
                            core::upstream_id(std::to_string(i)),
                            true,
                            all.now);
                    writer.monitor.tick(all.now);
                    all.propose(writer);
                    break;
                }
                RC_ASSERT(all.union_of_ejections().size() <= budget);
            }
            for (auto const& record : all.log)
                if (auto const* const eject =
                        std::get_if<health::eject_record>(&record))
                {
                    ++ejections;
                    reclaimed += eject->release != 0 ? 1 : 0;
                }
        });
    // The property would hold without any ejection, and prove nothing then.
    INFO(ejections << " ejections, " << reclaimed << " into released slots");
    CHECK(ejections > 0);
    CHECK(reclaimed > 0);
}

// Guards against a writer that claims a released slot while a cut-off reader
// still honours the ejection that the slot held before.
TEST_CASE("a writer waits one lease before it claims a released slot")
{
    fleet all;
    auto& writer = *all.instances[0];
    auto& reader = *all.instances[2];
    core::time_point released_at;
    bool reader_is_cut_off = false;
    std::size_t reclaimed = 0;
    for (unsigned step = 0; step < 400 && reclaimed == 0; ++step)
    {
        all.now += 250ms;
        // Both slots fill; then other upstreams are sick while the first ones
        // are readmitted.
        unsigned const first = step < 40 ? 0 : 4;
        all.blame(first + step % 2, first + (step + 1) % 2);
        for (std::size_t age = 4; age-- > 0;)
            all.deliver(age, 0);
        for (unsigned i = 0; i < upstreams; ++i)
            writer.monitor.record_probe(
                core::upstream_id(std::to_string(i)), true, all.now);
        all.read(writer, true);
        if (!reader_is_cut_off)
            all.read(reader, true);
        writer.monitor.tick(all.now);
        std::size_t const before = all.log.size();
        all.propose(writer);
        CHECK(all.union_of_ejections().size() <= budget);
        if (all.log.size() == before)
            continue;
        if (std::holds_alternative<health::readmit_record>(all.log.back()))
        {
            // The reader misses the release, and the writer reads it next.
            reader_is_cut_off = true;
            if (released_at == core::time_point{})
                released_at = all.now + 250ms;
        }
        else if (reader_is_cut_off)
        {
            ++reclaimed;
            CHECK(all.now - released_at >= health::ejection_lease);
            all.read(writer, true);
            CHECK(all.union_of_ejections().size() <= budget);
        }
    }
    CHECK(reclaimed == 1);
}
