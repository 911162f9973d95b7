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

/// Unit of evidence in messages.
constexpr double tenths = 10;
/// Evidence that would be rounded to nothing is kept for later.
constexpr double least_evidence = 0.05;
/// Most that a report states.
constexpr unsigned max_in_flight = 255;
constexpr double max_evidence = 100;

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
    auto const [place, added] = services_.try_emplace(
        service,
        known_service{nullptr,
                      health::health_estimate_table(
                          health::health_estimate_settings{}, floor_)});
    auto& known = place->second;
    if (known.table == table)
        return;
    if (known.table)
        for (auto const& entry : known.table->entries())
        {
            auto const& id = entry.object->endpoint().id;
            auto const stays = table->find(id);
            // A new process with an old name starts without a record.
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
        item.is_near = entry.distance == routing::pick_tier::own_domain;
        item.sickness = &known.sickness;
    }
    known.sickness.track(ids, now);
    known.sickness.assign_observer_index(place_);
    known.table = std::move(table);
}

void upstream_tracker::keep(std::vector<core::service_name> const& services)
{
    std::erase_if(
        services_,
        [&](auto const& item)
        {
            bool const gone =
                std::find(services.begin(), services.end(), item.first) ==
                services.end();
            if (gone && item.second.table)
                for (auto const& entry : item.second.table->entries())
                    upstreams_.erase(short_hash(entry.object->endpoint().id));
            return gone;
        });
}

void upstream_tracker::record(routing::upstream const& target,
                              health::attempt_report const& report,
                              core::time_point now)
{
    auto const found = upstreams_.find(short_hash(report.upstream));
    // The upstream may have left the list since the attempt began.
    if (found == upstreams_.end() || found->second.object.get() != &target)
        return;
    auto& item = found->second;
    auto const weight = item.sickness->record(report, now);
    item.evidence += weight;
    if (report.result == health::attempt_result::refused)
        item.object->report_load(item.object->endpoint().slots, now);
    if (weight > 0)
    {
        bad_news_ = true;
        decide(now);
    }
}

void upstream_tracker::merge(std::vector<upstream_report> const& reports,
                             double trust,
                             core::time_point now)
{
    bool bad = false;
    for (auto const& told : reports)
    {
        auto const found = upstreams_.find(told.upstream);
        if (found == upstreams_.end() || told.evidence == 0)
            continue;
        found->second.sickness->merge(found->second.object->endpoint().id,
                                      trust * told.evidence / tenths,
                                      now);
        bad = bad || told.evidence > 0;
    }
    if (bad)
        decide(now);
}

void upstream_tracker::adopt(std::vector<upstream_estimate> const& beliefs,
                             core::time_point now)
{
    for (auto const& belief : beliefs)
        if (auto const found = upstreams_.find(belief.upstream);
            found != upstreams_.end())
            found->second.sickness->adopt(found->second.object->endpoint().id,
                                          belief.log_odds / tenths,
                                          now);
    if (!beliefs.empty())
        decide(now);
}

std::vector<upstream_estimate>
upstream_tracker::beliefs(core::time_point now) const
{
    std::vector<upstream_estimate> result;
    for (auto const& [hash, item] : upstreams_)
    {
        auto const avoided_log_odds =
            item.sickness->avoided_log_odds(item.object->endpoint().id, now);
        if (avoided_log_odds && result.size() < max_beliefs)
            result.push_back({hash,
                              static_cast<std::int16_t>(
                                  std::lround(*avoided_log_odds * tenths))});
    }
    return result;
}

void upstream_tracker::update_neighbour_load(remote_load_table const& loads)
{
    for (auto& [hash, item] : upstreams_)
        item.object->update_neighbour_load(loads.total(hash));
}

void upstream_tracker::update_neighbour_load(
    remote_load_table const& loads, std::vector<std::uint32_t> const& changed)
{
    for (auto const hash : changed)
        if (auto const found = upstreams_.find(hash); found != upstreams_.end())
            found->second.object->update_neighbour_load(loads.total(hash));
}

void upstream_tracker::assign_observer_index(std::size_t place)
{
    place_ = place;
    for (auto& [name, service] : services_)
        service.sickness.assign_observer_index(place);
}

void upstream_tracker::decide(core::time_point now)
{
    for (auto& [name, service] : services_)
    {
        if (!service.table)
            continue;
        auto decisions = service.sickness.decide(now);
        // Trials cost a request each; the domain of an upstream makes them.
        for (auto& decision : decisions)
            decision.trial = decision.trial && is_near(decision.upstream);
        // Nothing here is an ejection, so that none has to be honoured.
        service.table->publish(decisions, now);
        // A neighbour may have made a trial that is asked for here.
        for (auto const& decision : decisions)
            if (!decision.trial)
                service.table->find(decision.upstream)->cancel_trial();
        for (auto const& decision : decisions)
            log_standing(decision, name);
    }
}

bool upstream_tracker::is_near(core::upstream_id const& id) const
{
    auto const found = upstreams_.find(short_hash(id));
    return found != upstreams_.end() && found->second.is_near;
}

std::vector<upstream_report> upstream_tracker::take_reports()
{
    std::vector<upstream_report> reports;
    for (auto& [hash, item] : upstreams_)
    {
        auto const in_flight =
            std::min(item.object->in_flight(), max_in_flight);
        bool const has_evidence = std::abs(item.evidence) >= least_evidence;
        item.told = in_flight;
        if ((in_flight == 0 && !has_evidence) || reports.size() >= max_reports)
            continue;
        upstream_report told;
        told.upstream = hash;
        told.in_flight = static_cast<std::uint8_t>(in_flight);
        told.evidence = static_cast<std::int16_t>(std::lround(
            std::clamp(item.evidence, -max_evidence, max_evidence) * tenths));
        item.evidence = 0;
        reports.push_back(told);
    }
    bad_news_ = false;
    return reports;
}

std::vector<upstream_report> upstream_tracker::load_reports() const
{
    std::vector<upstream_report> reports;
    for (auto const& [hash, item] : upstreams_)
    {
        auto const in_flight =
            std::min(item.object->in_flight(), max_in_flight);
        if (in_flight != 0 && reports.size() < max_reports)
            reports.push_back({hash, static_cast<std::uint8_t>(in_flight), 0});
    }
    return reports;
}

bool upstream_tracker::has_news() const
{
    return std::any_of(upstreams_.begin(),
                       upstreams_.end(),
                       [](auto const& item)
                       {
                           return item.second.told !=
                                  item.second.object->in_flight();
                       });
}

void upstream_tracker::log_standing(health::standing_decision const& decision,
                                    core::service_name const& service)
{
    auto& last = logged_[decision.upstream];
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
