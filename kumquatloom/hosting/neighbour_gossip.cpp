#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/hosting/neighbour_gossip.hpp>

#include <utility>

namespace kumquatloom::hosting
{

namespace
{

/// Least time between two messages about load, which is a small part of the
/// time that a request takes.
constexpr std::chrono::milliseconds load_interval{50};

/// Part of its weight that evidence has here. A neighbour has the same paths.
/// What another domain sees may be a fault of its own path: it is enough to
/// avoid an upstream that nobody here has used lately, but does not outweigh a
/// good record.
constexpr double neighbour_trust = 1;
constexpr double foreign_trust = 0.4;

} // namespace

neighbour_gossip::neighbour_gossip(boost::asio::io_context& context,
                                   identity self,
                                   upstream_tracker& board,
                                   hooks given)
    : self_(std::move(self))
    , board_(board)
    , hooks_(std::move(given))
    , table_({}, self_.address.host, self_.incarnation)
    , relay_(self_.domain, self_.region)
    , socket_(context,
              self_.address,
              {[this](std::string const& host, neighbour_message const& message)
               {
                   received(host, message);
               },
               [this](std::string const& host, domain_report const& report)
               {
                   received(host, report);
               }})
{
}

void neighbour_gossip::start()
{
    socket_.start();
}

void neighbour_gossip::stop()
{
    socket_.stop();
}

void neighbour_gossip::learn(std::string const& host)
{
    if (table_.learn(host, core::clock::now()))
        greet({host, self_.address.port});
}

void neighbour_gossip::learn(announced_instance const& instance)
{
    if (instance.domain == self_.domain)
        learn(instance.host);
    else
        relay_.learn(instance);
}

void neighbour_gossip::greet(settings::endpoint const& seed)
{
    if (seed.host != self_.address.host)
        send_to(seed, true);
}

void neighbour_gossip::tick(core::time_point now)
{
    table_.expire(now);
    std::vector<std::string> live;
    for (auto const& item : table_.live(now))
        live.push_back(item.host);
    auto const rank = table_.place(now).rank;
    loads_.keep(live, now);
    board_.assign_observer_index(rank);
    // Upstreams that were just listed have no load yet.
    board_.update_neighbour_load(loads_);
    loads_.take_changed();
    if (is_due(now))
        send_now();
    // The first in rank speaks for the domain.
    if (rank == 0)
        tell_other_domains(now);
}

void neighbour_gossip::tell_other_domains(core::time_point now)
{
    auto const targets = relay_.due(now);
    if (targets.empty())
        return;
    auto load = loads_.neighbours();
    for (auto const& own : board_.load_reports())
        load[own.upstream] += own.in_flight;
    auto report = relay_.report(load, self_.incarnation);
    auto const bytes = encode(report);
    for (auto const& host : targets)
        socket_.send({host, self_.address.port}, bytes);
}

void neighbour_gossip::received(std::string const& host,
                                domain_report const& report)
{
    if (!relay_.is_news(report))
        return;
    auto const now = core::clock::now();
    loads_.tell_domain(report.domain, report.reports, now);
    board_.merge(report.reports, foreign_trust, now);
    board_.update_neighbour_load(loads_, loads_.take_changed());
    // It came from outside, so that the neighbours do not know it yet.
    if (table_.knows(host))
        return;
    auto copy = report;
    auto const bytes = encode(copy);
    for (auto const& other : table_.addresses())
        socket_.send({other, self_.address.port}, bytes);
}

void neighbour_gossip::send_now()
{
    sent_ = core::clock::now();
    auto const reports = board_.take_reports();
    relay_.collect(reports);
    auto message = new_message(false, reports);
    auto const bytes = encode(message);
    for (auto const& host : table_.addresses())
        socket_.send({host, self_.address.port}, bytes);
}

void neighbour_gossip::received(std::string const& host,
                                neighbour_message const& message)
{
    auto const now = core::clock::now();
    if (message.domain != self_.domain)
    {
        // A new instance of another domain asks whoever it knows.
        if (message.asks)
            send_to({host, self_.address.port}, false);
        hooks_.learned(host, message);
        return;
    }
    bool const heard = table_.hear({host,
                                    message.incarnation,
                                    message.sequence,
                                    message.ready,
                                    message.leaving},
                                   now);
    if (!heard)
        return;
    if (message.asks)
        send_to({host, self_.address.port}, false);
    board_.adopt(message.beliefs, now);
    loads_.tell(host, message.reports);
    relay_.collect(message.reports);
    board_.merge(message.reports, neighbour_trust, now);
    board_.update_neighbour_load(loads_, loads_.take_changed());
    hooks_.learned(host, message);
}

void neighbour_gossip::send_to(settings::endpoint const& target, bool asks)
{
    auto message = new_message(asks, board_.load_reports());
    if (!asks)
        message.beliefs = board_.beliefs(core::clock::now());
    socket_.send(target, encode(message));
}

neighbour_message
neighbour_gossip::new_message(bool asks, std::vector<upstream_report> reports)
{
    neighbour_message message;
    message.domain = self_.domain;
    message.incarnation = self_.incarnation;
    message.sequence = ++sequence_;
    message.asks = asks;
    message.reports = std::move(reports);
    hooks_.describe(message);
    return message;
}

bool neighbour_gossip::is_due(core::time_point now) const
{
    auto const since = now - sent_;
    return board_.has_bad_news() ||
           (board_.has_news() && since >= load_interval) ||
           since >= membership::neighbour_settings{}.heartbeat;
}

} // namespace kumquatloom::hosting
