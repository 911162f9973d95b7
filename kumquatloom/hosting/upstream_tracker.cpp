#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/remote_load_table.hpp>
#include <kumquatloom/hosting/upstream_tracker.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatloom::hosting
{

namespace
{

/// Messages carry log-odds in tenths of a unit.
constexpr double log_odds_scale = 10;
/// Evidence below half a wire unit, which would be rounded to 0, is no reason
/// to report an upstream without load, and stays pending then. A report that is
/// made for the load discards it.
constexpr double min_reported_evidence = 0.05;
/// Largest load of one upstream in a message, and largest evidence in log-odds
/// units.
constexpr unsigned max_in_flight = 255;
constexpr double max_evidence = 100;
/// Evidence of another instance in tenths that shows a reset or a timeout
/// rather than a single error response.
constexpr int min_failure_evidence = 20;
/// Assumed age of a success that a neighbour reports. Reports take up to 150
/// ms; more is assumed so that own results of the last 0.3 s have precedence
/// and the instances don't all choose the same upstream.
constexpr std::chrono::milliseconds report_age{300};

} // namespace

std::uint32_t short_hash(core::upstream_id const& id)
{
    return static_cast<std::uint32_t>(core::stable_hash(id.value()));
}

upstream_tracker::upstream_tracker(double floor)
    : floor_(floor)
{
}

void upstream_tracker::track(core::service_name const& service,
                             routing::upstream_table::pointer table,
                             core::time_point now)
{
    auto const [position, added] = services_.try_emplace(
        service,
        tracked_service{nullptr,
                        health::health_estimate_table(
                            health::health_estimate_settings{}, floor_)});
    auto& tracked = position->second;
    if (tracked.table == table)
        return;
    if (tracked.table)
        for (auto const& entry : tracked.table->entries())
        {
            auto const& id = entry.object->endpoint().id;
            auto const stays = table->find(id);
            // Drop the record of an upstream that was removed or replaced by a
            // new process with the same id.
            if (!stays || stays != entry.object)
                upstreams_.erase(short_hash(id));
        }
    std::vector<core::upstream_id> ids;
    for (auto const& entry : table->entries())
    {
        auto const& id = entry.object->endpoint().id;
        ids.push_back(id);
        auto& item = upstreams_[short_hash(id)];
        item.object = entry.object;
        item.in_own_domain = entry.distance == routing::pick_tier::own_domain;
        item.estimates = &tracked.estimates;
    }
    has_new_upstreams_ = true;
    tracked.estimates.track(ids, now);
    tracked.estimates.assign_observers(observers_);
    tracked.table = std::move(table);
}

void upstream_tracker::configure(
    core::service_name const& service,
    health::health_estimate_settings const& settings)
{
    if (auto const found = services_.find(service); found != services_.end())
        found->second.estimates.configure(settings);
}

void upstream_tracker::retain_services(
    std::vector<core::service_name> const& services)
{
    std::erase_if(
        services_,
        [&](auto const& item)
        {
            bool const removed =
                std::find(services.begin(), services.end(), item.first) ==
                services.end();
            if (removed && item.second.table)
                for (auto const& entry : item.second.table->entries())
                    upstreams_.erase(short_hash(entry.object->endpoint().id));
            return removed;
        });
}

void upstream_tracker::record_attempt(routing::upstream const& target,
                                      health::attempt_report const& report,
                                      core::time_point now)
{
    auto const found = upstreams_.find(short_hash(report.upstream));
    // The upstream may have been removed since the attempt started.
    if (found == upstreams_.end() || found->second.object.get() != &target)
        return;
    auto& item = found->second;
    auto const evidence = item.estimates->record(report, now);
    item.pending_evidence += evidence;
    // Count all slots of an upstream that refuses requests as in use.
    if (report.result == health::attempt_result::refused)
        item.object->report_load(item.object->endpoint().slots, now);
    if (evidence > 0)
    {
        item.object->cancel_trial();
        has_urgent_evidence_ = true;
        update_crossed_standings(now);
    }
}

void upstream_tracker::merge_evidence(
    std::vector<upstream_report> const& reports,
    double evidence_weight,
    core::time_point now)
{
    bool has_failure = false;
    for (auto const& report : reports)
    {
        auto const found = upstreams_.find(report.upstream);
        if (found == upstreams_.end() || report.evidence == 0)
            continue;
        found->second.estimates->merge(found->second.object->endpoint().id,
                                       evidence_weight * report.evidence /
                                           log_odds_scale,
                                       now);
        if (report.evidence < 0)
            found->second.object->record_success(now - report_age);
        if (report.evidence <= 0)
            continue;
        if (report.evidence >= min_failure_evidence)
            found->second.object->record_failure();
        // A trial of another instance has just failed, so that one of this
        // instance would fail as well.
        found->second.object->cancel_trial();
        has_failure = true;
    }
    if (has_failure)
        update_crossed_standings(now);
}

void upstream_tracker::adopt_estimates(
    std::vector<upstream_estimate> const& estimates, core::time_point now)
{
    for (auto const& estimate : estimates)
        if (auto const found = upstreams_.find(estimate.upstream);
            found != upstreams_.end())
            found->second.estimates->adopt(found->second.object->endpoint().id,
                                           estimate.log_odds / log_odds_scale,
                                           now);
    if (!estimates.empty())
        update_standings(now);
}

std::vector<upstream_estimate>
upstream_tracker::avoided_estimates(core::time_point now) const
{
    std::vector<upstream_estimate> result;
    for (auto const& [hash, item] : upstreams_)
    {
        auto const log_odds =
            item.estimates->avoided_log_odds(item.object->endpoint().id, now);
        if (log_odds)
            result.push_back({hash,
                              static_cast<std::int16_t>(
                                  std::lround(*log_odds * log_odds_scale))});
    }
    // The highest estimates are certain for the longest time.
    std::sort(result.begin(),
              result.end(),
              [](upstream_estimate const& left, upstream_estimate const& right)
              {
                  return left.log_odds > right.log_odds;
              });
    result.resize(std::min(result.size(), max_estimates));
    return result;
}

void upstream_tracker::mark_departed(
    std::vector<departed_upstream> const& departed)
{
    for (auto const& item : departed)
    {
        auto const found = upstreams_.find(item.upstream);
        if (found == upstreams_.end())
            continue;
        auto const& endpoint = found->second.object->endpoint();
        if (endpoint.incarnation == item.incarnation &&
            found->second.object->mark_leaving())
            core::log_info("upstream_left_by_neighbour",
                           {{"upstream", endpoint.id.value()},
                            {"service", endpoint.service.value()}});
    }
}

void upstream_tracker::publish_remote_load(remote_load_table const& loads)
{
    for (auto& [hash, item] : upstreams_)
        item.object->update_remote_load(loads.total(hash));
}

void upstream_tracker::publish_remote_load(
    remote_load_table const& loads, std::vector<std::uint32_t> const& changed)
{
    for (auto const hash : changed)
        if (auto const found = upstreams_.find(hash); found != upstreams_.end())
            found->second.object->update_remote_load(loads.total(hash));
}

void upstream_tracker::assign_observers(
    membership::domain_rank const& observers)
{
    observers_ = observers;
    for (auto& [name, service] : services_)
        service.estimates.assign_observers(observers);
}

bool upstream_tracker::take_new_upstreams()
{
    return std::exchange(has_new_upstreams_, false);
}

void upstream_tracker::update_standings(core::time_point now)
{
    for (auto& [name, service] : services_)
        if (service.table)
            update_standings(name, service, now);
}

void upstream_tracker::update_crossed_standings(core::time_point now)
{
    // Evidence arrives many times a second, and few pieces of it change the
    // standing of an upstream.
    for (auto& [name, service] : services_)
        if (service.table && service.estimates.has_crossing())
            update_standings(name, service, now);
}

void upstream_tracker::update_standings(core::service_name const& name,
                                        tracked_service& service,
                                        core::time_point now)
{
    auto const held = static_cast<std::size_t>(
        std::count_if(service.table->entries().begin(),
                      service.table->entries().end(),
                      [now](routing::upstream_table::entry const& entry)
                      {
                          return entry.object->is_held(now);
                      }));
    auto decisions = service.estimates.decide(now, held);
    // A trial is a caller's request that may fail. To keep trials few, only
    // instances in the upstream's domain make them; their observer ranks
    // stagger the trials.
    for (auto& decision : decisions)
    {
        if (is_in_own_domain(decision.upstream))
            continue;
        decision.trial = false;
        decision.coverage_due_at = core::time_point::max();
    }
    // The lease expiry affects ejections only, and none of these decisions
    // is one.
    service.table->publish(decisions, now);
    // Withdraw a requested trial if a neighbour's result has made it
    // unnecessary.
    for (auto const& decision : decisions)
        if (!decision.trial)
            service.table->find(decision.upstream)->cancel_trial();
    for (auto const& decision : decisions)
        log_standing(decision, name);
}

bool upstream_tracker::is_in_own_domain(core::upstream_id const& id) const
{
    auto const found = upstreams_.find(short_hash(id));
    return found != upstreams_.end() && found->second.in_own_domain;
}

std::vector<upstream_report> upstream_tracker::take_reports()
{
    std::vector<upstream_report> reports;
    for (auto& [hash, item] : upstreams_)
    {
        auto const in_flight =
            std::min(item.object->in_flight(), max_in_flight);
        bool const has_evidence =
            std::abs(item.pending_evidence) >= min_reported_evidence;
        item.reported_in_flight = in_flight;
        if (in_flight == 0 && !has_evidence)
            continue;
        upstream_report report;
        report.upstream = hash;
        report.in_flight = static_cast<std::uint8_t>(in_flight);
        report.evidence = static_cast<std::int16_t>(std::lround(
            std::clamp(item.pending_evidence, -max_evidence, max_evidence) *
            log_odds_scale));
        reports.push_back(report);
    }
    keep_most_significant(reports, max_reports);
    for (auto const& report : reports)
        upstreams_.at(report.upstream).pending_evidence = 0;
    has_urgent_evidence_ = false;
    return reports;
}

std::vector<upstream_report> upstream_tracker::load_reports() const
{
    std::vector<upstream_report> reports;
    for (auto const& [hash, item] : upstreams_)
    {
        auto const in_flight =
            std::min(item.object->in_flight(), max_in_flight);
        if (in_flight != 0)
            reports.push_back({hash, static_cast<std::uint8_t>(in_flight), 0});
    }
    keep_most_significant(reports, max_reports);
    return reports;
}

bool upstream_tracker::has_load_change() const
{
    return std::any_of(upstreams_.begin(),
                       upstreams_.end(),
                       [](auto const& item)
                       {
                           return item.second.reported_in_flight !=
                                  item.second.object->in_flight();
                       });
}

void upstream_tracker::log_standing(health::standing_decision const& decision,
                                    core::service_name const& service)
{
    auto& last = logged_standings_[decision.upstream];
    if (last == decision.standing)
        return;
    core::log_info("upstream_standing",
                   {{"upstream", decision.upstream.value()},
                    {"service", service.value()},
                    {"before", to_string(last)},
                    {"standing", to_string(decision.standing)},
                    {"log_odds", decision.severity}});
    last = decision.standing;
}

} // namespace kumquatloom::hosting
