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

/// Time without disturbances after which guarantees with a time bound apply.
constexpr auto stable_window = 3000ms;
/// Time bounds of the platform, as configured by its settings.
constexpr auto max_drain_delay = 2000ms;
constexpr auto max_configuration_delay = 2000ms;
constexpr auto grace_period = 6000ms;
constexpr auto max_disconnect_delay = 500ms;
/// Maximum number of requests in a soak that may arrive at an upstream, and of
/// those that it may execute, after their caller has disconnected.
constexpr std::size_t max_late_requests = 3;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_success = 200;

/// Whether a status is the proxy's own denial of a request: a client error,
/// except for the refusals 408, 421 and 429.
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

void soak_checks::on_arrival(std::string const& id,
                             sent_request const& sent,
                             soak_upstream const& upstream)
{
    check_route(id, sent, upstream);
    if (!settings_.checks_time_bounds)
        return;
    check_drain(id, sent, upstream);
    auto const now = core::clock::now();
    auto const disconnected = ledger_.disconnected_at(id);
    bool const late = disconnected &&
                      now - *disconnected > max_disconnect_delay &&
                      is_instance_stable(sent.instance, now - stable_window) &&
                      is_link_stable(upstream, now - stable_window);
    if (late && ++late_arrivals_ > max_late_requests)
        ledger_.report("GONE",
                       "request " + id +
                           " arrived after its caller had disconnected");
}

void soak_checks::on_completion(std::string const& id,
                                sent_request const& sent,
                                soak_upstream const& upstream)
{
    auto const now = core::clock::now();
    auto const disconnected = ledger_.disconnected_at(id);
    if (!settings_.checks_time_bounds || !sent.is_idempotent || !disconnected ||
        now - *disconnected <= max_disconnect_delay)
        return;
    if (is_instance_stable(sent.instance, now - stable_window) &&
        is_link_stable(upstream, now - stable_window) &&
        ++late_executions_ > max_late_requests)
        ledger_.report("GONE",
                       "request " + id + " was executed at " +
                           upstream.self().id +
                           " after its caller had disconnected");
}

void soak_checks::on_response(caller_view const& view,
                              recorded_response const& response,
                              bool has_retry_after)
{
    ledger_.record_received_response(view.id, response);
    auto const& sent = *ledger_.find(view.id);
    auto& instance = *instances_->at(view.instance);
    bool const same_process = instance.process().starts() == view.starts;
    if (response.status == status_success && same_process)
        instance.record_served(sent.prefix);
    if (is_denial(response.status))
        check_denial(view, sent, response.status);
    if (response.status == status_unavailable && response.signature.empty() &&
        !has_retry_after)
        ledger_.report("REFUSED",
                       "request " + view.id +
                           " was refused without Retry-After");
}

void soak_checks::on_disconnect(caller_view const& view)
{
    ledger_.record_disconnect(view.id);
    auto& instance = *instances_->at(view.instance);
    auto& process = instance.process();
    auto const now = core::clock::now();
    // A request that arrives while the instance closes the connection is not
    // read, and thus not forwarded.
    if (!ledger_.has_arrived(view.id) ||
        !instance.no_unplanned_since(view.sent - stable_window))
        return;
    // The grace period may end before the last request does, so requests that
    // end in its last sixth or later are not checked.
    auto const leaving = process.leaving_since();
    bool const out_of_time = leaving && now - *leaving > grace_period * 5 / 6;
    if (!out_of_time)
        ledger_.report("LOST",
                       "request " + view.id + " was forwarded by instance " +
                           std::to_string(view.instance) +
                           " and got no response");
}

void soak_checks::on_timeout(caller_view const& view)
{
    ledger_.record_disconnect(view.id);
    if (settings_.checks_time_bounds &&
        is_instance_stable(view.instance, view.sent - stable_window))
        ledger_.report("CONFIG",
                       "request " + view.id +
                           " got no response within its deadline");
}

void soak_checks::check_exit(soak_instance& instance, std::size_t number)
{
    auto const killed = instance.process().was_killed();
    auto const leaving = instance.process().leaving_since().has_value();
    auto const starting = instance.process().terminated_while_starting();
    auto const exit_status = instance.process().take_exit();
    if (!exit_status)
        return;
    bool const by_force = killed && exit_status->code == SIGKILL;
    bool const at_start =
        (starting && exit_status->code == SIGTERM) ||
        instance.process().was_signalled_before_reading_settings(
            exit_status->code);
    bool const is_expected = exit_status->by_signal
                                 ? by_force || at_start
                                 : leaving && exit_status->code == 0;
    if (!is_expected)
        ledger_.report("EXIT",
                       "instance " + std::to_string(number) +
                           " exited unexpectedly with " +
                           (exit_status->by_signal ? "signal " : "status ") +
                           std::to_string(exit_status->code));
}

bool soak_checks::is_instance_stable(std::size_t instance,
                                     core::time_point from) const
{
    return instances_->at(instance)->stable_since(from) &&
           platform_->store_disturbance().stable_since(from);
}

bool soak_checks::is_link_stable(soak_upstream const& upstream,
                                 core::time_point from) const
{
    for (auto const& item : platform_->upstreams())
        if (item.upstream.get() == &upstream)
            return item.link->disturbance().stable_since(from);
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
    bool const is_outdated =
        settings_.checks_time_bounds &&
        !history.allowed(
            sent.prefix, service, sent.sent_at - max_configuration_delay);
    if (is_outdated && is_instance_stable(sent.instance, now - stable_window))
        ledger_.report("CONFIG",
                       "request " + id + " for " + sent.prefix +
                           " arrived at service " + service +
                           ", to which it is no longer routed");
}

void soak_checks::check_drain(std::string const& id,
                              sent_request const& sent,
                              soak_upstream const& upstream)
{
    auto const now = core::clock::now();
    if (upstream.leaving_since &&
        now - *upstream.leaving_since > max_drain_delay &&
        is_instance_stable(sent.instance, now - stable_window) &&
        is_link_stable(upstream, now - stable_window))
        ledger_.report("DRAIN",
                       "request " + id + " arrived at " + upstream.self().id +
                           ", which is draining");
}

void soak_checks::check_denial(caller_view const& view,
                               sent_request const& sent,
                               unsigned status)
{
    auto const& history = platform_->history();
    auto& instance = *instances_->at(view.instance);
    auto const text = "request " + view.id + " for " + sent.prefix +
                      " got status " + std::to_string(status);
    // A route that all configurations contain must never be denied.
    if (history.always_routed(sent.prefix, core::time_point::min()))
        ledger_.report("DENIED", text);
    bool const same_process = instance.process().starts() == view.starts;
    if (same_process && instance.has_served(sent.prefix) &&
        history.always_routed(sent.prefix, sent.sent_at))
        ledger_.report("CONFIG", text + " after it had been served");
    if (settings_.checks_time_bounds &&
        history.always_routed(sent.prefix,
                              sent.sent_at - max_configuration_delay) &&
        is_instance_stable(view.instance, sent.sent_at - stable_window))
        ledger_.report("CONFIG", text + " although it is routed");
}

} // namespace kumquatloom::soak
