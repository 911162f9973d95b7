#include <kumquatloom/health/ejection_ledger.hpp>
#include <kumquatloom/health/ejection_proposer.hpp>
#include <kumquatloom/health/ejection_view.hpp>
#include <kumquatloom/health/evaluate_standings.hpp>
#include <kumquatloom/health/floor_guard.hpp>
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

    /// All observers blame one upstream; messages may come late or twice.
    void blame(unsigned upstream)
    {
        core::upstream_id const id(std::to_string(upstream));
        for (auto const& one : instances)
            for (unsigned i = 0; i < 8 * upstreams; ++i)
            {
                core::upstream_id const tried(std::to_string(i % upstreams));
                auto const result = tried == id
                                        ? health::attempt_result::upstream_error
                                        : health::attempt_result::success;
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
                     health::floor_guard(floor_upstreams, budget),
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
            for (int step = 0; step < 600; ++step)
            {
                all.now += std::chrono::milliseconds(
                    *rc::gen::element(50, 100, 300, 1200));
                auto& one =
                    *all.instances[*rc::gen::inRange<std::size_t>(0, 4)];
                switch (*rc::gen::inRange(0, 10))
                {
                case 0:
                    all.blame(*rc::gen::inRange(0U, 3U));
                    break;
                case 1:
                case 2:
                case 3:
                case 4:
                    all.deliver(*rc::gen::inRange<std::size_t>(0, 12),
                                *rc::gen::inRange<std::size_t>(0, 2));
                    break;
                case 5:
                    all.read(one, false);
                    break;
                case 6:
                case 7:
                    all.read(one, true);
                    break;
                default:
                    // Two instances take themselves for the writer.
                    auto& writer =
                        *all.instances[*rc::gen::inRange<std::size_t>(0, 2)];
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
    INFO(ejections << " ejections");
    CHECK(ejections > 0);
    CHECK(reclaimed > 0);
}
