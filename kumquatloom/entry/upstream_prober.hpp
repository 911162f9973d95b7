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

/// Sends health probes to upstreams that are avoided or ejected. A probe costs
/// an upstream 25 ms, so that healthy ones get none.
class upstream_prober
{
public:
    /// Reports the results to the monitors of `control`.
    upstream_prober(asio::io_context& context,
                    instance_state& state,
                    service_manager& control);

    /// Probes until stop().
    asio::awaitable<void> run();

    /// Ends run().
    void stop();

private:
    void probe_service(service_state const& service, core::time_point now);
    asio::awaitable<void> probe(core::service_name service,
                                routing::upstream_endpoint target);

    /// Runs the probes.
    asio::io_context& context_;
    /// What all threads share.
    instance_state& state_;
    /// Receives the results.
    service_manager& control_;
    /// Wakes the next round.
    asio::steady_timer timer_;
    /// Upstreams whose probe is under way.
    std::set<core::upstream_id> running_;
    /// Whether stop() was called.
    bool stopped_ = false;
};

} // namespace kumquatloom::entry

#endif
