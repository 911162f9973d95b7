#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/hosting/neighbour_messenger.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace kumquatloom::hosting
{

namespace
{

/// Minimum interval between messages about changed load, and the number of
/// neighbours up to which it applies. Above, the interval grows with their
/// number, so that the number of messages does not.
constexpr std::chrono::milliseconds min_load_interval{50};
constexpr std::size_t min_interval_neighbours = 12;

/// Interval between two updates of the admission levels, and the number of
/// neighbours that each is sent to, in turn. With both constant, the cost of an
/// instance does not grow with the domain.
constexpr std::chrono::milliseconds level_interval{100};
constexpr std::size_t level_receivers = 4;

/// Weight of evidence reported by others, relative to own evidence. Neighbours
/// share this instance's network paths. A failure seen by another domain may be
/// caused by that domain's path to the upstream: its evidence suffices to avoid
/// an upstream without recent local results, but does not outweigh local
/// successes.
constexpr double neighbour_trust = 1;
constexpr double other_domain_trust = 0.4;

} // namespace

neighbour_messenger::neighbour_messenger(boost::asio::io_context& context,
                                         identity self,
                                         upstream_tracker& tracker,
                                         limits::quota_table& quotas,
                                         limits::admission_levels* levels,
                                         hooks callbacks)
    : self_(std::move(self))
    , tracker_(tracker)
    , quotas_(quotas)
    , levels_(levels)
    , hooks_(std::move(callbacks))
    , neighbours_({}, self_.address.host, self_.incarnation)
    , relay_(self_.domain, self_.region_domains)
    , socket_(context,
              self_.address,
              {[this](std::string const& host, neighbour_message const& message)
               {
                   handle(host, message);
               },
               [this](std::string const& host, domain_report const& report)
               {
                   handle(host, report);
               },
               [this](std::string const& host, departure_notice const& notice)
               {
                   handle(host, notice);
               },
               [this](std::string const& host, quota_message const& message)
               {
                   handle(host, message);
               },
               [this](std::string const& host, level_message const& message)
               {
                   handle(host, message);
               }})
{
}

void neighbour_messenger::start()
{
    socket_.start();
}

void neighbour_messenger::stop()
{
    socket_.stop();
}

void neighbour_messenger::add_instance(std::string const& host)
{
    auto const now = core::clock::now();
    if (!neighbours_.add_address(host, now))
        return;
    if (has_quota_sources_)
        quotas_.add_source(limits::quota_source_kind::instance,
                           limits::quota_key(host),
                           1,
                           now);
    send_hello({host, self_.address.port});
}

void neighbour_messenger::add_instance(announced_instance const& instance)
{
    if (instance.domain == self_.domain)
        add_instance(instance.host);
    else
    {
        relay_.add_instance(instance);
        // Its domain has one more instance.
        has_quota_sources_ = false;
    }
}

void neighbour_messenger::send_hello(settings::endpoint const& seed)
{
    if (seed.host != self_.address.host)
        send_to(seed, true);
}

void neighbour_messenger::tick(core::time_point now)
{
    neighbours_.expire(now);
    std::vector<std::string> live;
    for (auto const& item : neighbours_.live(now))
        live.push_back(item.host);
    live_neighbours_ = live.size();
    remote_load_.retain(live, now);
    auto const own_rank = neighbours_.own_rank(now);
    tracker_.assign_observers(own_rank);
    auto const changed = remote_load_.take_changed();
    // Newly listed upstreams have no stored load yet.
    if (tracker_.take_new_upstreams())
        tracker_.publish_remote_load(remote_load_);
    else
        tracker_.publish_remote_load(remote_load_, changed);
    if (is_message_due(now))
        send_now();
    send_quotas(now);
    send_levels(now);
    // The instance with the lowest rank reports for the domain.
    if (own_rank.rank == 0)
        send_domain_reports(now);
}

void neighbour_messenger::send_domain_reports(core::time_point now)
{
    auto const targets = relay_.due_targets(now);
    if (targets.empty())
        return;
    auto load = remote_load_.neighbour_totals();
    for (auto const& own : tracker_.load_reports())
        load[own.upstream] += own.in_flight;
    auto report = relay_.make_report(load, self_.incarnation);
    auto const bytes = encode(report);
    for (auto const& host : targets)
        socket_.send({host, self_.address.port}, bytes);
    if (!quotas_.is_enabled())
        return;
    quota_message message;
    message.domain = self_.domain;
    message.is_domain_total = true;
    message.update = quotas_.make_domain_update(max_quota_counts, now);
    auto const quota_bytes = encode(message);
    for (auto const& host : targets)
        socket_.send({host, self_.address.port}, quota_bytes);
}

void neighbour_messenger::add_quota_sources(core::time_point now)
{
    using limits::quota_key;
    using limits::quota_source_kind;
    has_quota_sources_ = true;
    for (auto const& host : neighbours_.addresses())
        quotas_.add_source(
            quota_source_kind::instance, quota_key(host), 1, now);
    for (auto const& [name, count] : relay_.instance_counts())
        quotas_.add_source(quota_source_kind::domain,
                           quota_key(name.value()),
                           static_cast<unsigned>(count),
                           now);
}

void neighbour_messenger::send_quotas(core::time_point now)
{
    if (!quotas_.is_enabled())
        return;
    if (!has_quota_sources_)
        add_quota_sources(now);
    quotas_.refresh(now);
    auto const elapsed = now - last_quotas_sent_;
    if (elapsed < membership::neighbour_settings{}.heartbeat_interval &&
        (!quotas_.has_news() ||
         elapsed < load_message_interval(live_neighbours_)))
        return;
    last_quotas_sent_ = now;
    quota_message message;
    message.domain = self_.domain;
    message.update = quotas_.make_update(max_quota_counts, now);
    auto const bytes = encode(message);
    for (auto const& host : neighbours_.addresses())
        socket_.send({host, self_.address.port}, bytes);
}

void neighbour_messenger::send_levels(core::time_point now)
{
    if (levels_ == nullptr || now - levels_updated_ < level_interval)
        return;
    levels_updated_ = now;
    levels_->update(now);
    level_message message;
    message.rooms = levels_->make_update(now);
    auto const hosts = neighbours_.addresses();
    if (message.rooms.empty() || hosts.empty())
        return;
    message.domain = self_.domain;
    message.incarnation = self_.incarnation;
    message.sequence = ++level_sequence_;
    auto const bytes = encode(message);
    for (std::size_t i = 0; i < std::min(level_receivers, hosts.size()); ++i)
    {
        last_level_target_ = (last_level_target_ + 1) % hosts.size();
        socket_.send({hosts[last_level_target_], self_.address.port}, bytes);
    }
}

void neighbour_messenger::handle(std::string const& host,
                                 level_message const& message)
{
    if (levels_ == nullptr || message.domain != self_.domain ||
        !neighbours_.contains(host))
        return;
    levels_->apply(limits::quota_key(host),
                   message.incarnation,
                   message.sequence,
                   message.rooms,
                   core::clock::now());
}

void neighbour_messenger::handle(std::string const& host,
                                 quota_message const& message)
{
    if (!quotas_.is_enabled())
        return;
    auto const now = core::clock::now();
    bool const is_neighbour = neighbours_.contains(host);
    if (!message.is_domain_total)
    {
        if (is_neighbour && message.domain == self_.domain)
            quotas_.apply(limits::quota_source_kind::instance,
                          limits::quota_key(host),
                          message.update,
                          now);
        return;
    }
    bool const is_new = quotas_.apply(limits::quota_source_kind::domain,
                                      limits::quota_key(message.domain.value()),
                                      message.update,
                                      now);
    // As for domain reports: neighbours have not received a message from
    // outside the domain.
    if (!is_new || is_neighbour)
        return;
    auto copy = message;
    auto const bytes = encode(copy);
    for (auto const& other : neighbours_.addresses())
        socket_.send({other, self_.address.port}, bytes);
}

void neighbour_messenger::handle(std::string const& host,
                                 domain_report const& report)
{
    if (!relay_.accept(report))
        return;
    auto const now = core::clock::now();
    remote_load_.update_domain(report.domain, report.reports, now);
    tracker_.merge_evidence(report.reports, other_domain_trust, now);
    tracker_.publish_remote_load(remote_load_, remote_load_.take_changed());
    // A report from outside the domain is forwarded, since neighbours have not
    // received it.
    if (neighbours_.contains(host))
        return;
    auto copy = report;
    auto const bytes = encode(copy);
    for (auto const& other : neighbours_.addresses())
        socket_.send({other, self_.address.port}, bytes);
}

void neighbour_messenger::report_departure(routing::upstream const& departed)
{
    auto const& endpoint = departed.endpoint();
    departures_.add({short_hash(endpoint.id), endpoint.incarnation});
    send_departures();
}

void neighbour_messenger::send_departures()
{
    auto notice = departures_.take_notice();
    if (!notice)
        return;
    auto const bytes = encode(*notice);
    for (auto const& host : neighbours_.addresses())
        socket_.send({host, self_.address.port}, bytes);
}

void neighbour_messenger::handle(std::string const& host,
                                 departure_notice const& notice)
{
    // Only instances of the own failure domain send notices.
    if (neighbours_.contains(host))
        tracker_.mark_departed(notice.upstreams);
}

void neighbour_messenger::send_now()
{
    last_sent_ = core::clock::now();
    send_departures();
    auto const reports = tracker_.take_reports();
    relay_.add_evidence(reports);
    auto message = make_message(false, reports);
    auto const bytes = encode(message);
    for (auto const& host : neighbours_.addresses())
        socket_.send({host, self_.address.port}, bytes);
}

void neighbour_messenger::handle(std::string const& host,
                                 neighbour_message const& message)
{
    auto const now = core::clock::now();
    if (message.domain != self_.domain)
    {
        // Reply even to another domain: a starting instance sends hello
        // messages to its seeds in any domain.
        if (message.wants_reply)
            send_to({host, self_.address.port}, false);
        hooks_.message_accepted(host, message);
        return;
    }
    bool const accepted = neighbours_.record_heartbeat({host,
                                                        message.incarnation,
                                                        message.sequence,
                                                        message.ready,
                                                        message.leaving},
                                                       now);
    if (!accepted)
        return;
    if (message.wants_reply)
        send_to({host, self_.address.port}, false);
    tracker_.adopt_estimates(message.estimates, now);
    remote_load_.update_neighbour(host, message.reports);
    relay_.add_evidence(message.reports);
    tracker_.merge_evidence(message.reports, neighbour_trust, now);
    tracker_.publish_remote_load(remote_load_, remote_load_.take_changed());
    hooks_.message_accepted(host, message);
}

void neighbour_messenger::send_to(settings::endpoint const& target,
                                  bool wants_reply)
{
    auto message = make_message(wants_reply, tracker_.load_reports());
    if (!wants_reply)
        message.estimates = tracker_.avoided_estimates(core::clock::now());
    socket_.send(target, encode(message));
}

neighbour_message
neighbour_messenger::make_message(bool wants_reply,
                                  std::vector<upstream_report> reports)
{
    neighbour_message message;
    message.domain = self_.domain;
    message.incarnation = self_.incarnation;
    message.sequence = ++sequence_;
    message.wants_reply = wants_reply;
    message.reports = std::move(reports);
    hooks_.fill_message(message);
    return message;
}

bool neighbour_messenger::is_message_due(core::time_point now) const
{
    auto const elapsed = now - last_sent_;
    return tracker_.has_urgent_evidence() ||
           elapsed >= membership::neighbour_settings{}.heartbeat_interval ||
           (elapsed >= load_message_interval(live_neighbours_) &&
            tracker_.has_load_change());
}

core::duration load_message_interval(std::size_t neighbours)
{
    core::duration const interval = min_load_interval;
    return std::max(interval,
                    interval * static_cast<std::int64_t>(neighbours) /
                        static_cast<std::int64_t>(min_interval_neighbours));
}

} // namespace kumquatloom::hosting
