#ifndef KUMQUATLOOM_MEASURE_SCENARIO_HPP
#define KUMQUATLOOM_MEASURE_SCENARIO_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/routing/picker.hpp>
#include <kumquatloom/routing/upstream_table.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace kumquatloom::measure
{

/// Fault that is injected during a run.
enum class fault_kind
{
    none,
    slow,
    errors,
    wrong,
    /// Upstreams alternate between slow and healthy.
    flap,
    /// Responses of some upstreams do not reach one of the instances.
    one_way,
    overload,
    /// Upstreams are replaced by new ones, which are slow while they warm up.
    cold_start,
    leaving
};

/// Parameters of a run, apart from the proxy's policy.
struct scenario
{
    /// Entry instances of the fleet, the same number in each failure domain.
    static constexpr unsigned instances = 48;
    /// Failure domains, two in each of two regions.
    static constexpr unsigned domains = 4;
    /// Mean service time of a healthy upstream; lognormal with this sigma, so
    /// that one response in 100 takes at least 3.4 times the mean.
    static constexpr std::chrono::milliseconds service_time{50};
    static constexpr double service_sigma = 0.6;
    /// Latency above which a request counts as late.
    static constexpr std::chrono::milliseconds late_after = 5 * service_time;
    /// Delay until the platform's list shows a change.
    static constexpr std::chrono::milliseconds list_lag{2000};
    /// Bytes of a request and its response.
    static constexpr unsigned exchange_bytes = 5000;
    /// Fraction of idempotent requests.
    static constexpr double idempotent_fraction = 0.8;

    /// The fault.
    fault_kind fault = fault_kind::none;
    /// Number of upstreams that the fault affects.
    unsigned victims = 1;
    /// When the fault begins.
    core::time_point fault_at;
    /// When the run ends.
    core::time_point end;
    /// The service as the document describes it.
    document::service_settings service;
    /// Offered load as a fraction of all slots.
    double load = 0.6;
    /// Seed of all random numbers.
    std::uint64_t seed = 1;
    /// How the picker compares upstreams.
    routing::balancing_policy balancing =
        routing::balancing_policy::load_and_latency;
    /// Upstreams of its own failure domain that an instance prefers; 0 means
    /// all.
    unsigned subset = 0;

    /// Failure domain and region of the members of a domain.
    static routing::locality place(unsigned domain);
    /// One-way network latency between two domains.
    static core::duration latency(unsigned from, unsigned to);
    /// Domain of an entry instance and of an upstream.
    static unsigned domain_of_instance(unsigned instance)
    {
        return instance % domains;
    }
    static unsigned domain_of_upstream(unsigned upstream)
    {
        return upstream % domains;
    }
    /// Whether the fault affects an upstream.
    bool is_victim(unsigned upstream) const
    {
        return upstream < victims;
    }
    /// Whether the fault makes the upstream unhealthy, so that ejecting it is
    /// correct.
    bool is_unhealthy(unsigned upstream, core::time_point now) const;
    /// The platform's list of upstreams at a time.
    std::vector<routing::listed_upstream> list(core::time_point now) const;
};

/// Parses a fault's name from the command line. Throws if it is unknown.
fault_kind parse_fault(std::string const& name);

} // namespace kumquatloom::measure

#endif
