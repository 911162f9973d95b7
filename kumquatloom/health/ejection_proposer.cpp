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

/// Time given to a record to come back through the log. Proposing it again is
/// harmless, because a second copy names a release that is no longer current.
constexpr core::duration append_patience = 10s;
/// First and longest time of an ejection; each one of the same upstream
/// doubles it, as avoidance does.
constexpr core::duration first_hold = 30s;
constexpr core::duration longest_hold = 10min;
/// Failure domains that must blame an upstream, if the cell has as many.
constexpr unsigned blaming_domains = 2;
/// Added to the lease before a slot is claimed again, for clocks of different
/// rates: 1% of the lease is far above the drift of real clocks.
constexpr core::duration clock_margin = 50ms;

bool is_listed(proposal_context const& view, core::upstream_id const& upstream)
{
    return std::find(view.live.begin(), view.live.end(), upstream) !=
           view.live.end();
}

} // namespace

ejection_proposer::ejection_proposer(core::service_name service)
    : service_(std::move(service))
{
}

std::optional<ejection_proposer::proposal>
ejection_proposer::propose(health_monitor const& monitor,
                           proposal_context const& view,
                           core::time_point now)
{
    observe(view, now);
    if (!view.is_writer || !view.is_fresh)
        return std::nullopt;
    // One record at a time: the next one needs to see the ledger after it.
    if (proposed_at_ && now - *proposed_at_ < append_patience &&
        proposed_on_ == view.slots)
        return std::nullopt;
    auto result = propose_readmission(monitor, view, now);
    if (!result)
        result = propose_ejection(monitor, view, now);
    if (result)
    {
        proposed_at_ = now;
        proposed_on_ = view.slots;
    }
    return result;
}

void ejection_proposer::observe(proposal_context const& view,
                                core::time_point now)
{
    auto const& slots = view.slots;
    // A release that was in the ledger before this instance looked for the
    // first time counts from now: the wait may only be longer.
    if (memory_.size() < slots.size())
        memory_.resize(slots.size());
    for (std::size_t i = 0; i < slots.size(); ++i)
    {
        auto& memory = memory_[i];
        if (memory.release != slots[i].release)
        {
            memory.release = slots[i].release;
            memory.released_at = now;
        }
        if (slots[i].is_free() || is_listed(view, slots[i].upstream))
            memory.missing_since.reset();
        else if (!memory.missing_since)
            memory.missing_since = now;
        if (memory.ejection == slots[i].ejection)
            continue;
        memory.ejection = slots[i].ejection;
        memory.ejected_at = now;
        if (!slots[i].is_free())
            ++ejections_[slots[i].upstream];
    }
}

std::optional<ejection_proposer::proposal>
ejection_proposer::propose_readmission(health_monitor const& monitor,
                                       proposal_context const& view,
                                       core::time_point now) const
{
    for (std::size_t i = 0; i < view.slots.size(); ++i)
    {
        auto const& slot = view.slots[i];
        if (slot.is_free())
            continue;
        auto const since = memory_[i].ejected_at;
        // The list lags, so an upstream that is missing gets one lease.
        auto const& missing = memory_[i].missing_since;
        bool const is_gone = missing && now - *missing >= ejection_lease;
        bool const is_well = !missing &&
                             now - since >= hold_time(slot.upstream) &&
                             monitor.probes_confirm(slot.upstream, now);
        if (is_gone || is_well)
            return readmit_record{view.record_id,
                                  service_,
                                  slot.upstream,
                                  static_cast<std::uint32_t>(i),
                                  slot.ejection};
    }
    return std::nullopt;
}

std::optional<ejection_proposer::proposal>
ejection_proposer::propose_ejection(health_monitor const& monitor,
                                    proposal_context const& view,
                                    core::time_point now) const
{
    auto const slot = claimable_slot(view, now);
    if (!slot)
        return std::nullopt;
    unsigned const needed = std::min(blaming_domains, view.cell_domains);
    for (auto const& suspect : monitor.ejection_candidates(now))
    {
        bool const is_held =
            std::any_of(view.slots.begin(),
                        view.slots.end(),
                        [&](ejection_slot const& held)
                        {
                            return held.upstream == suspect.upstream;
                        });
        if (suspect.domains < needed || is_held ||
            !is_listed(view, suspect.upstream))
            continue;
        return eject_record{
            view.record_id,
            service_,
            suspect.upstream,
            static_cast<std::uint32_t>(*slot),
            view.slots.size() > *slot ? view.slots[*slot].release : 0};
    }
    return std::nullopt;
}

std::optional<std::size_t>
ejection_proposer::claimable_slot(proposal_context const& view,
                                  core::time_point now) const
{
    for (std::size_t i = 0; i < view.budget; ++i)
    {
        if (i >= view.slots.size())
            return i;
        if (!view.slots[i].is_free())
            continue;
        bool const waited =
            view.slots[i].release == 0 ||
            now - memory_[i].released_at >= ejection_lease + clock_margin;
        if (waited)
            return i;
    }
    return std::nullopt;
}

core::duration
ejection_proposer::hold_time(core::upstream_id const& upstream) const
{
    auto const found = ejections_.find(upstream);
    unsigned const times = found == ejections_.end() ? 1 : found->second;
    core::duration hold = first_hold;
    for (unsigned i = 1; i < times && hold < longest_hold; ++i)
        hold *= 2;
    return std::min(hold, longest_hold);
}

} // namespace kumquatloom::health
