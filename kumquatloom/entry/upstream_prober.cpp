#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/service_manager.hpp>
#include <kumquatloom/entry/upstream_prober.hpp>
#include <kumquatloom/log_service/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Interval between probes of one upstream. Three consecutive successes readmit
/// it.
constexpr std::chrono::seconds probe_interval{1};
/// Time limit for one probe, including the connect.
constexpr std::chrono::milliseconds probe_timeout{1000};
/// Maximum size of the response's body. Many probes may run at once.
constexpr std::size_t probe_body_limit = 64 * 1024;
constexpr unsigned status_ok = 200;

bool needs_probe(health::upstream_standing standing)
{
    return standing == health::upstream_standing::avoided ||
           standing == health::upstream_standing::ejected;
}

} // namespace

upstream_prober::upstream_prober(asio::io_context& context,
                                 instance_state& state,
                                 service_manager& services)
    : context_(context)
    , state_(state)
    , services_(services)
    , timer_(context)
{
}

asio::awaitable<void> upstream_prober::run()
{
    while (!stopped_)
    {
        if (auto const table = state_.services.read())
            for (auto const& [name, service] : table->services)
                probe_service(*service, core::clock::now());
        timer_.expires_after(probe_interval);
        co_await timer_.async_wait(as_result);
    }
}

void upstream_prober::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void upstream_prober::probe_service(service_state const& service,
                                    core::time_point now)
{
    auto const table = service.picker.table();
    if (!table)
        return;
    for (auto const& entry : table->entries())
    {
        auto const& target = entry.object->endpoint();
        if (needs_probe(entry.object->standing(now)) &&
            running_.insert(target.id).second)
            asio::co_spawn(
                context_, probe(service.name, target), asio::detached);
    }
}

asio::awaitable<void> upstream_prober::probe(core::service_name service,
                                             routing::upstream_endpoint target)
{
    log_service::http_client_settings client_settings;
    client_settings.timeout = probe_timeout;
    client_settings.max_body_bytes = probe_body_limit;
    log_service::http_client const client({target.host, target.port},
                                          client_settings);
    auto const response = co_await client.fetch("/healthz");
    bool const ok = response && response.value().status == status_ok;
    state_.events.increment(ok ? entry_event::probe_succeeded
                               : entry_event::probe_failed);
    if (auto* const monitor = services_.monitor(service))
        monitor->record_probe(target.id, ok, core::clock::now());
    running_.erase(target.id);
}

} // namespace kumquatloom::entry
