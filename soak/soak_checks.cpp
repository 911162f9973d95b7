#include <chrono>
#include <csignal>
#include <soak/soak_checks.hpp>
#include <soak/soak_instance.hpp>
#include <soak/soak_platform.hpp>

namespace kumquatloom::soak
{

namespace
{

using namespace std::chrono_literals;

/// Bounds of the platform, as its settings give them.
constexpr auto stable_window = 3000ms;
constexpr auto drain_time = 2000ms;
constexpr auto configuration_time = 2000ms;
constexpr auto grace = 6000ms;
constexpr auto after_leaving = 500ms;
/// Requests that may reach or occupy an upstream after their caller has left.
constexpr std::size_t few = 3;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_success = 200;

/// Statuses of the system's own that mean that the request is not permitted.
bool is_denial(unsigned status)
{
    constexpr unsigned status_server_error = 500;
    return status >= status_bad_request && status < status_server_error &&
           status != 408 && status != 421 && status != 429;
}

} // namespace

soak_checks::soak_checks(soak_settings const& settings, request_ledger& ledger)
    : settings_(settings)
    , ledger_(ledger)
{
}

void soak_checks::watch(soak_platform& platform,
                        std::vector<std::unique_ptr<soak_instance>>& instances)
{
    platform_ = &platform;
    instances_ = &instances;
}

void soak_checks::arrived(std::string const& id,
                          sent_request const& sent,
                          soak_upstream const& upstream)
{
    check_route(id, sent, upstream);
    if (!settings_.timed)
        return;
    check_drain(id, sent, upstream);
    auto const now = core::clock::now();
    auto const left = ledger_.left_at(id);
    bool const late = left && now - *left > after_leaving &&
                      in_touch(sent.instance, now - stable_window) &&
                      link_is_calm(upstream, now - stable_window);
    if (late && ++late_arrivals_ > few)
        ledger_.report("GONE",
                       "request " + id + " arrived after its caller left");
}

void soak_checks::worked(std::string const& id,
                         sent_request const& sent,
                         soak_upstream const& upstream)
{
    auto const now = core::clock::now();
    auto const left = ledger_.left_at(id);
    if (!settings_.timed || !sent.may_repeat || !left ||
        now - *left <= after_leaving)
        return;
    if (in_touch(sent.instance, now - stable_window) &&
        link_is_calm(upstream, now - stable_window) && ++vain_work_ > few)
        ledger_.report("GONE",
                       "request " + id + " was worked on at " +
                           upstream.self().id + " after its caller left");
}

void soak_checks::answered(caller_view const& view,
                           known_answer const& answer,
                           bool may_come_back)
{
    ledger_.answered(view.id, answer);
    auto const& sent = *ledger_.find(view.id);
    auto& instance = *instances_->at(view.instance);
    bool const same_process = instance.process().starts() == view.starts;
    if (answer.status == status_success && same_process)
        instance.served(sent.prefix);
    if (is_denial(answer.status))
        check_denial(view, sent, answer.status);
    if (answer.status == status_unavailable && answer.signature.empty() &&
        !may_come_back)
        ledger_.report("REFUSED",
                       "request " + view.id +
                           " was refused without a time to come back");
}

void soak_checks::cut_off(caller_view const& view)
{
    ledger_.left(view.id);
    auto& instance = *instances_->at(view.instance);
    auto& process = instance.process();
    auto const now = core::clock::now();
    // Bytes that cross a close are not read, and then not passed on.
    if (!ledger_.has_arrived(view.id) ||
        !instance.undisturbed_since(view.sent - stable_window))
        return;
    // The grace may end before the last request.
    auto const leaving = process.leaving_since();
    bool const out_of_time = leaving && now - *leaving > grace * 5 / 6;
    if (!out_of_time)
        ledger_.report("LOST",
                       "request " + view.id + " was passed on by instance " +
                           std::to_string(view.instance) +
                           " and got no answer");
}

void soak_checks::unanswered(caller_view const& view)
{
    ledger_.left(view.id);
    if (settings_.timed && in_touch(view.instance, view.sent - stable_window))
        ledger_.report("CONFIG",
                       "request " + view.id + " had no answer in its time");
}

void soak_checks::ended(soak_instance& instance, std::size_t number)
{
    auto const killed = instance.process().was_killed();
    auto const leaving = instance.process().leaving_since().has_value();
    auto const starting = instance.process().left_while_starting();
    auto const ending = instance.process().take_ending();
    if (!ending)
        return;
    bool const by_force = killed && ending->code == SIGKILL;
    bool const at_start = starting && ending->code == SIGTERM;
    bool const is_expected =
        ending->by_signal ? by_force || at_start : leaving && ending->code == 0;
    if (!is_expected)
        ledger_.report("EXIT",
                       "instance " + std::to_string(number) +
                           " ended by itself with " +
                           (ending->by_signal ? "signal " : "status ") +
                           std::to_string(ending->code));
}

bool soak_checks::in_touch(std::size_t instance, core::time_point from) const
{
    return instances_->at(instance)->calm_since(from) &&
           platform_->store_trouble().calm_since(from);
}

bool soak_checks::link_is_calm(soak_upstream const& upstream,
                               core::time_point from) const
{
    for (auto const& place : platform_->upstreams())
        if (place.upstream.get() == &upstream)
            return place.link->trouble().calm_since(from);
    return false;
}

void soak_checks::check_route(std::string const& id,
                              sent_request const& sent,
                              soak_upstream const& upstream)
{
    auto const& service = upstream.self().service;
    auto const& history = platform_->history();
    if (!history.ever_allowed(sent.prefix, service))
        ledger_.report("ROUTE",
                       "request " + id + " for " + sent.prefix +
                           " arrived at service " + service);
    auto const now = core::clock::now();
    bool const late =
        settings_.timed && !history.allowed(sent.prefix,
                                            service,
                                            sent.sent_at - configuration_time);
    if (late && in_touch(sent.instance, now - stable_window))
        ledger_.report("CONFIG",
                       "request " + id + " for " + sent.prefix +
                           " arrived at service " + service +
                           ", where it no longer goes");
}

void soak_checks::check_drain(std::string const& id,
                              sent_request const& sent,
                              soak_upstream const& upstream)
{
    auto const now = core::clock::now();
    if (upstream.leaving_since && now - *upstream.leaving_since > drain_time &&
        in_touch(sent.instance, now - stable_window) &&
        link_is_calm(upstream, now - stable_window))
        ledger_.report("DRAIN",
                       "request " + id + " arrived at " + upstream.self().id +
                           ", which is leaving");
}

void soak_checks::check_denial(caller_view const& view,
                               sent_request const& sent,
                               unsigned status)
{
    auto const& history = platform_->history();
    auto& instance = *instances_->at(view.instance);
    auto const text = "request " + view.id + " for " + sent.prefix +
                      " got status " + std::to_string(status);
    // A route that has always been there is denied by nobody.
    if (history.always_routed(sent.prefix, core::time_point::min()))
        ledger_.report("DENIED", text);
    bool const same_process = instance.process().starts() == view.starts;
    if (same_process && instance.has_served(sent.prefix) &&
        history.always_routed(sent.prefix, sent.sent_at))
        ledger_.report("CONFIG", text + " after it had been served");
    if (settings_.timed &&
        history.always_routed(sent.prefix, sent.sent_at - configuration_time) &&
        in_touch(view.instance, sent.sent_at - stable_window))
        ledger_.report("CONFIG", text + ", though it is routed");
}

} // namespace kumquatloom::soak
