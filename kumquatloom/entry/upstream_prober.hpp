#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_PROBER_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_PROBER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/service_state.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace kumquatloom::entry
{

struct instance_state;
class service_manager;

/// Sends active health checks to upstreams that are avoided or ejected. Healthy
/// upstreams are not probed, because a probe costs an upstream 25 ms.
class upstream_prober
{
public:
    /// Reports the results to the health monitors of `services`.
    upstream_prober(asio::io_context& context,
                    instance_state& state,
                    service_manager& services);

    /// Probes until stop().
    asio::awaitable<void> run();

    void stop();

private:
    void probe_service(service_state const& service, core::time_point now);
    asio::awaitable<void> probe(core::service_name service,
                                routing::upstream_endpoint target);

    /// Executes the probes' coroutines.
    asio::io_context& context_;
    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Receives the results.
    service_manager& services_;
    /// Schedules the next round of probes.
    asio::steady_timer timer_;
    /// Upstreams with a probe in flight.
    std::set<core::upstream_id> running_;
    bool stopped_ = false;
};

} // namespace kumquatloom::entry

#endif
