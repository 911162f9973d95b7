#include <kumquatloom/health/ejection_proposer.hpp>
#include <kumquatloom/health/ejection_view.hpp>
#include <kumquatloom/health/health_monitor.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquatloom::health
{

namespace
{

using namespace std::chrono_literals;

/// Time after which a record is proposed again, or another one instead, if the
/// slots have not changed. A duplicate in the log is harmless: the ledger
/// ignores the second record, because its upstream is already ejected, or
/// because it names a release or an ejection that is no longer current.
constexpr core::duration append_timeout = 10s;
/// Minimum duration of the first ejection of an upstream. Each further ejection
/// doubles it up to the maximum. Unlike the duration of an avoidance, it does
/// not return to the base while the process runs.
constexpr core::duration base_ejection_time = 30s;
constexpr core::duration max_ejection_time = 10min;
/// Failure domains that must report an upstream as unhealthy, if the cell has
/// as many.
constexpr unsigned required_domains = 2;
/// Added to the lease before a released slot is claimed, for clocks that run at
/// different rates. 1% of the lease is far above the drift of real clocks.
constexpr core::duration clock_margin = 50ms;

bool is_listed(proposal_context const& context,
               core::upstream_id const& upstream)
{
    return std::find(context.live.begin(), context.live.end(), upstream) !=
           context.live.end();
}

} // namespace

ejection_proposer::ejection_proposer(core::service_name service)
    : service_(std::move(service))
{
}

std::optional<ejection_proposer::proposal>
ejection_proposer::propose(health_monitor const& monitor,
                           proposal_context const& context,
                           core::time_point now)
{
    update_history(context, now);
    if (!context.is_writer || !context.is_fresh)
        return std::nullopt;
    // One record at a time: the next decision needs the ledger with this record
    // applied.
    if (proposed_at_ && now - *proposed_at_ < append_timeout &&
        slots_at_proposal_ == context.slots)
        return std::nullopt;
    auto result = propose_readmission(monitor, context, now);
    if (!result)
        result = propose_ejection(monitor, context, now);
    if (result)
    {
        proposed_at_ = now;
        slots_at_proposal_ = context.slots;
    }
    return result;
}

void ejection_proposer::update_history(proposal_context const& context,
                                       core::time_point now)
{
    auto const& slots = context.slots;
    // A release that is first seen now counts from now, even if it is older.
    // This can only lengthen the wait before a slot is claimed again.
    if (history_.size() < slots.size())
        history_.resize(slots.size());
    for (std::size_t i = 0; i < slots.size(); ++i)
    {
        auto& history = history_[i];
        if (history.release != slots[i].release)
        {
            history.release = slots[i].release;
            history.released_at = now;
        }
        if (slots[i].is_free() || is_listed(context, slots[i].upstream))
            history.missing_since.reset();
        else if (!history.missing_since)
            history.missing_since = now;
        if (history.ejection == slots[i].ejection)
            continue;
        history.ejection = slots[i].ejection;
        history.ejected_at = now;
        if (!slots[i].is_free())
            ++ejections_[slots[i].upstream];
    }
}

std::optional<ejection_proposer::proposal>
ejection_proposer::propose_readmission(health_monitor const& monitor,
                                       proposal_context const& context,
                                       core::time_point now) const
{
    for (std::size_t i = 0; i < context.slots.size(); ++i)
    {
        auto const& slot = context.slots[i];
        if (slot.is_free())
            continue;
        auto const since = history_[i].ejected_at;
        // The upstream list lags, so a missing upstream is readmitted only
        // after it has been missing for one lease.
        auto const& missing = history_[i].missing_since;
        bool const is_removed = missing && now - *missing >= ejection_lease;
        bool const is_healthy =
            !missing && now - since >= ejection_time(slot.upstream) &&
            monitor.probes_allow_readmission(slot.upstream, now);
        if (is_removed || is_healthy)
            return readmit_record{context.record_id,
                                  service_,
                                  slot.upstream,
                                  static_cast<std::uint32_t>(i),
                                  slot.ejection};
    }
    return std::nullopt;
}

std::optional<ejection_proposer::proposal>
ejection_proposer::propose_ejection(health_monitor const& monitor,
                                    proposal_context const& context,
                                    core::time_point now) const
{
    auto const slot = claimable_slot(context, now);
    if (!slot)
        return std::nullopt;
    unsigned const needed = std::min(required_domains, context.cell_domains);
    for (auto const& candidate : monitor.ejection_candidates(now))
    {
        bool const is_ejected =
            std::any_of(context.slots.begin(),
                        context.slots.end(),
                        [&](ejection_slot const& used)
                        {
                            return used.upstream == candidate.upstream;
                        });
        if (candidate.domains < needed || is_ejected ||
            !is_listed(context, candidate.upstream))
            continue;
        return eject_record{
            context.record_id,
            service_,
            candidate.upstream,
            static_cast<std::uint32_t>(*slot),
            context.slots.size() > *slot ? context.slots[*slot].release : 0};
    }
    return std::nullopt;
}

std::optional<std::size_t>
ejection_proposer::claimable_slot(proposal_context const& context,
                                  core::time_point now) const
{
    for (std::size_t i = 0; i < context.budget; ++i)
    {
        if (i >= context.slots.size())
            return i;
        if (!context.slots[i].is_free())
            continue;
        bool const waited =
            context.slots[i].release == 0 ||
            now - history_[i].released_at >= ejection_lease + clock_margin;
        if (waited)
            return i;
    }
    return std::nullopt;
}

core::duration
ejection_proposer::ejection_time(core::upstream_id const& upstream) const
{
    auto const found = ejections_.find(upstream);
    unsigned const ejections = found == ejections_.end() ? 1 : found->second;
    core::duration time = base_ejection_time;
    for (unsigned i = 1; i < ejections && time < max_ejection_time; ++i)
        time *= 2;
    return std::min(time, max_ejection_time);
}

} // namespace kumquatloom::health
