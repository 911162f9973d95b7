#include <algorithm>
#include <measure/quota_fleet.hpp>
#include <string>
#include <utility>

namespace kumquatloom::measure
{

namespace
{

using limits::quota_source_kind;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds tick_interval{25};
constexpr milliseconds heartbeat_interval{250};
constexpr milliseconds min_interval{50};
constexpr unsigned min_interval_neighbours = 12;
constexpr milliseconds same_region_interval{100};
constexpr milliseconds cross_region_interval{400};
constexpr std::size_t max_counts = 64;
constexpr std::size_t header_bytes = 48;
constexpr std::size_t count_bytes = 10;

std::uint32_t instance_key(unsigned instance)
{
    return limits::quota_key("instance" + std::to_string(instance));
}

std::uint32_t domain_key(unsigned domain)
{
    return limits::quota_key("domain" + std::to_string(domain));
}

std::size_t size_of(limits::quota_update const& update)
{
    return header_bytes + update.counts.size() * count_bytes +
           update.unheard.size() * sizeof(std::uint32_t);
}

} // namespace

quota_fleet::quota_fleet(parameters const& setup, event_queue& events)
    : setup_(setup)
    , events_(events)
    , nodes_(setup.instances)
    , members_(setup.domains)
    , random_(static_cast<std::minstd_rand::result_type>(setup.seed))
{
    for (unsigned i = 0; i < setup.instances; ++i)
        members_[domain_of(i)].push_back(i);
    for (unsigned i = 0; i < setup.instances; ++i)
        start(i);
}

void quota_fleet::configure(unsigned instance,
                            std::vector<limits::quota_limit> const& quotas)
{
    nodes_[instance].quotas = quotas;
    if (nodes_[instance].table)
        nodes_[instance].table->configure(quotas, events_.now());
}

limits::quota_decision quota_fleet::take(unsigned instance,
                                         std::uint32_t organisation)
{
    return nodes_[instance].table->try_take(organisation, events_.now());
}

void quota_fleet::give_back(unsigned instance, std::uint32_t organisation)
{
    nodes_[instance].table->give_back(organisation, events_.now());
}

void quota_fleet::stop(unsigned instance, bool planned)
{
    if (planned && nodes_[instance].table)
        send_update(instance, true);
    nodes_[instance].table.reset();
}

void quota_fleet::start(unsigned instance)
{
    auto& item = nodes_[instance];
    item.incarnation = next_incarnation_++;
    item.paused = false;
    item.backlog.clear();
    item.last_reported.assign(setup_.domains, core::time_point());
    auto const now = events_.now();
    item.table = std::make_unique<limits::quota_table>(
        setup_.quota,
        limits::quota_table::identity{instance_key(instance),
                                      domain_key(domain_of(instance)),
                                      item.incarnation},
        now);
    for (unsigned domain = 0; domain < setup_.domains; ++domain)
        if (domain != domain_of(instance))
            item.table->add_source(
                quota_source_kind::domain,
                domain_key(domain),
                static_cast<unsigned>(members_[domain].size()),
                now);
    for (auto const other : members_[domain_of(instance)])
        item.table->add_source(
            quota_source_kind::instance, instance_key(other), 1, now);
    item.table->mark_sources_complete();
    item.table->configure(item.quotas, now);
    std::uniform_int_distribution<int> phase(0, tick_interval.count());
    events_.after(milliseconds(phase(random_)),
                  [this, instance, incarnation = item.incarnation]
                  {
                      tick(instance, incarnation);
                  });
}

void quota_fleet::pause(unsigned instance)
{
    nodes_[instance].paused = true;
}

void quota_fleet::resume(unsigned instance)
{
    nodes_[instance].paused = false;
    events_.after(milliseconds(5),
                  [this, instance]
                  {
                      for (auto& action :
                           std::exchange(nodes_[instance].backlog, {}))
                          action();
                  });
}

void quota_fleet::tick(unsigned instance, core::incarnation incarnation)
{
    auto& item = nodes_[instance];
    if (!item.table || item.incarnation != incarnation)
        return;
    auto const now = events_.now();
    if (!item.paused)
    {
        item.table->refresh(now);
        auto const neighbours =
            static_cast<unsigned>(members_[domain_of(instance)].size());
        auto const interval = std::max(
            min_interval, min_interval * neighbours / min_interval_neighbours);
        auto const elapsed = now - item.last_sent;
        if (elapsed >= heartbeat_interval ||
            (elapsed >= interval && item.table->has_news()))
            send_update(instance, false);
        if (is_reporter(instance))
            send_reports(instance);
    }
    // A loaded machine runs the periodic tasks late.
    std::uniform_int_distribution<int> delay(0, 10);
    events_.after(tick_interval + milliseconds(delay(random_)),
                  [this, instance, incarnation]
                  {
                      tick(instance, incarnation);
                  });
}

bool quota_fleet::is_reporter(unsigned instance) const
{
    // The oldest of those that it hears.
    auto const& members = members_[domain_of(instance)];
    return std::none_of(members.begin(),
                        members.end(),
                        [&](unsigned member)
                        {
                            return is_running(member) &&
                                   nodes_[member].incarnation <
                                       nodes_[instance].incarnation &&
                                   reaches(member, instance);
                        });
}

void quota_fleet::send_update(unsigned instance, bool leaving)
{
    auto& item = nodes_[instance];
    item.last_sent = events_.now();
    auto update = item.table->make_update(max_counts, events_.now());
    update.leaving = leaving;
    for (auto const other : members_[domain_of(instance)])
        if (other != instance)
        {
            ++datagrams;
            bytes += size_of(update);
            deliver(instance,
                    other,
                    [this, instance, other, update]
                    {
                        nodes_[other].table->apply(quota_source_kind::instance,
                                                   instance_key(instance),
                                                   update,
                                                   events_.now());
                    });
        }
}

void quota_fleet::send_reports(unsigned instance)
{
    auto& item = nodes_[instance];
    auto const now = events_.now();
    std::vector<unsigned> targets;
    for (unsigned domain = 0; domain < setup_.domains; ++domain)
    {
        auto const& members = members_[domain];
        if (domain == domain_of(instance) || members.empty())
            continue;
        auto const interval = same_region(instance, members.front())
                                  ? same_region_interval
                                  : cross_region_interval;
        if (now - item.last_reported[domain] < interval)
            continue;
        item.last_reported[domain] = now;
        targets.push_back(members[next_target_++ % members.size()]);
    }
    if (targets.empty())
        return;
    auto const update = item.table->make_domain_update(max_counts, now);
    auto const domain = domain_of(instance);
    for (auto const target : targets)
    {
        ++datagrams;
        bytes += size_of(update);
        deliver(instance,
                target,
                [this, target, domain, update]
                {
                    auto const apply = [this, domain, update](unsigned receiver)
                    {
                        nodes_[receiver].table->apply(quota_source_kind::domain,
                                                      domain_key(domain),
                                                      update,
                                                      events_.now());
                    };
                    apply(target);
                    for (auto const other : members_[domain_of(target)])
                        if (other != target)
                        {
                            ++datagrams;
                            bytes += size_of(update);
                            deliver(target,
                                    other,
                                    [apply, other]
                                    {
                                        apply(other);
                                    });
                        }
                });
    }
}

void quota_fleet::deliver(unsigned from,
                          unsigned to,
                          std::function<void()> action)
{
    std::uniform_real_distribution<double> chance(0, 1);
    if (!nodes_[to].table || !reaches(from, to) ||
        chance(random_) < setup_.loss)
        return;
    int const base = same_region(from, to) ? 500 : 30000;
    std::uniform_int_distribution<int> delay(base, base + 10000);
    events_.after(microseconds(delay(random_)),
                  [this, to, action = std::move(action)]
                  {
                      if (!nodes_[to].table)
                          return;
                      if (nodes_[to].paused)
                          nodes_[to].backlog.push_back(action);
                      else
                          action();
                  });
}

} // namespace kumquatloom::measure
