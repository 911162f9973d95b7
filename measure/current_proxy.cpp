#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/health/ejection_view.hpp>
#include <kumquatloom/health/evaluate_standings.hpp>

#include <chrono>
#include <measure/current_proxy.hpp>
#include <string>

namespace kumquatloom::measure
{

namespace
{

using namespace std::chrono_literals;

/// Age of an instance's view of the log while the log is reachable.
constexpr core::duration freshness_age = 300ms;
/// Failure domains of a cell; a cell is a region.
constexpr unsigned cell_domains = 2;

core::service_name const service_name("service");

std::string name_of(unsigned instance)
{
    return "entry-" + std::to_string(instance);
}

/// Whether an instance is the one that writes the ejections of its cell.
bool is_writer(unsigned instance)
{
    unsigned writer = instance;
    std::uint64_t best = 0;
    for (unsigned i = 0; i < scenario::instances; ++i)
    {
        if (scenario::domain_of_instance(i) / 2 !=
            scenario::domain_of_instance(instance) / 2)
            continue;
        auto const score =
            core::rendezvous_score(service_name.value(), name_of(i));
        if (score <= best)
            continue;
        best = score;
        writer = i;
    }
    return writer == instance;
}

} // namespace

current_proxy::current_proxy(scenario const& setup, unsigned instance)
    : scenario_(setup)
    , instance_(instance)
    , picker_(std::make_unique<routing::picker>(setup.balancing))
    , monitor_(std::make_unique<health::health_monitor>(
          health::health_monitor_settings{
              service_name,
              core::instance_id(name_of(instance)),
              scenario::place(scenario::domain_of_instance(instance)).domain,
              health::outlier_detector_settings::for_level(
                  setup.service.detection)}))
    , proposer_(service_name)
    , limiter_(setup.service.floor_upstreams(), setup.service.ejection_budget())
{
    update_list(core::time_point{});
}

bool current_proxy::choose(simulated_attempt& attempt,
                           std::uint64_t random,
                           core::time_point now)
{
    auto const chosen = picker_->choose({attempt.request->tried,
                                         attempt.request->is_idempotent
                                             ? routing::trial_permission::due
                                             : routing::trial_permission::none,
                                         random},
                                        now);
    if (!chosen)
        return false;
    attempt.chosen = chosen.value();
    attempt.upstream = static_cast<unsigned>(
        std::stoul(attempt.chosen.object->endpoint().id.value()));
    attempt.request->tried.push_back(attempt.chosen.object);
    return true;
}

void current_proxy::finish_attempt(simulated_attempt const& attempt,
                                   health::attempt_result result,
                                   core::time_point now)
{
    auto const& object = attempt.chosen.object;
    if (result != health::attempt_result::timeout)
        object->report_load(attempt.reported_load, now);
    picker_->finish_attempt(attempt.chosen,
                            {object->endpoint().id,
                             result,
                             now - attempt.sent,
                             attempt.request->deadline - attempt.sent},
                            now);
}

bool current_proxy::may_retry(simulated_request const& request,
                              health::attempt_result result) const
{
    bool const did_not_run = result == health::attempt_result::refused;
    return request.attempts < 2 && (request.is_idempotent || did_not_run);
}

void current_proxy::update_list(core::time_point now)
{
    auto here = scenario::place(scenario::domain_of_instance(instance_));
    auto list = scenario_.list(now);
    // With subsetting, upstreams of the own domain outside the subset get the
    // priority of the own region, by means of a different domain name.
    for (unsigned i = 0; scenario_.subset > 0 && i < list.size(); ++i)
    {
        if (list[i].endpoint.domain != here.domain)
            continue;
        unsigned higher_scored = 0;
        auto const score = core::rendezvous_score(name_of(instance_),
                                                  list[i].endpoint.id.value());
        for (auto const& other : scenario_.list(now))
            if (other.endpoint.domain == here.domain &&
                core::rendezvous_score(name_of(instance_),
                                       other.endpoint.id.value()) > score)
                ++higher_scored;
        if (higher_scored >= scenario_.subset)
            list[i].endpoint.domain = core::failure_domain("not-preferred");
    }
    auto const table =
        routing::upstream_table::build(picker_->table(), list, here, now);
    picker_->publish(table);
    monitor_->track(table->tracked(), now);
    upstreams_.clear();
    for (auto const& item : list)
        upstreams_.push_back(table->find(item.endpoint.id));
}

void current_proxy::on_leaving(unsigned upstream)
{
    find(upstream)->mark_leaving();
}

void current_proxy::tick(core::time_point now)
{
    monitor_->tick(now);
    auto const table = picker_->table();
    health::ejection_view const view(ledger_.slots(service_name),
                                     now - freshness_age);
    table->publish(health::evaluate_standings(
                       *monitor_, view, limiter_, table->live(), now),
                   view.lease_expiry());
}

bool current_proxy::is_ejected(unsigned upstream, core::time_point now) const
{
    return standing(upstream, now) == health::upstream_standing::ejected;
}

bool current_proxy::is_avoided(unsigned upstream, core::time_point now) const
{
    return standing(upstream, now) == health::upstream_standing::avoided;
}

std::optional<health::ejection_proposer::proposal>
current_proxy::propose(core::time_point now)
{
    auto const live = picker_->table()->live();
    std::string const record_id =
        name_of(instance_) + "-" +
        std::to_string(now.time_since_epoch().count());
    return proposer_.propose(*monitor_,
                             {ledger_.slots(service_name),
                              scenario_.service.ejection_budget(),
                              is_writer(instance_),
                              true,
                              cell_domains,
                              live,
                              record_id},
                             now);
}

boost::intrusive_ptr<routing::upstream>
current_proxy::find(unsigned upstream) const
{
    return upstreams_[upstream];
}

health::upstream_standing current_proxy::standing(unsigned upstream,
                                                  core::time_point now) const
{
    return find(upstream)->standing(now);
}

} // namespace kumquatloom::measure
