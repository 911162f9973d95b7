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

/// What goes wrong during a run.
enum class fault_kind
{
    none,
    slow,
    errors,
    wrong,
    flap,
    one_way,
    overload,
    cold_start,
    leaving
};

/// Everything that a run depends on, apart from the policy.
struct scenario
{
    /// Entry instances of the fleet, the same number in each failure domain.
    static constexpr unsigned instances = 48;
    /// Failure domains, two in each of two regions.
    static constexpr unsigned domains = 4;
    /// Mean service time of a healthy upstream; lognormal with this sigma, so
    /// that one response in 100 takes 3.4 times the mean.
    static constexpr std::chrono::milliseconds service_time{50};
    static constexpr double service_sigma = 0.6;
    /// A request that takes longer counts as late.
    static constexpr std::chrono::milliseconds late_after = 5 * service_time;
    /// How far the platform's list lags behind reality.
    static constexpr std::chrono::milliseconds list_lag{2000};
    /// Bytes of a request and its response.
    static constexpr unsigned exchange_bytes = 5000;
    /// Fraction of requests that may be repeated.
    static constexpr double idempotent_fraction = 0.8;

    /// What goes wrong.
    fault_kind fault = fault_kind::none;
    /// Upstreams that it happens to.
    unsigned victims = 1;
    /// When it begins.
    core::time_point fault_at;
    /// When the run ends.
    core::time_point end;
    /// The service as the document describes it.
    document::service_settings service;
    /// Offered load as a fraction of all slots.
    double load = 0.6;
    /// Seed of all random numbers.
    std::uint64_t seed = 1;
    /// What the picker compares.
    routing::balancing_policy rule =
        routing::balancing_policy::load_and_latency;
    /// Upstreams of its own domain that an instance prefers; 0 means all.
    unsigned subset = 0;

    /// Where the member of a domain is.
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
    /// Whether an upstream is one that the fault happens to.
    bool is_victim(unsigned upstream) const
    {
        return upstream < victims;
    }
    /// Whether the fault makes the upstream sick, so that keeping it out of
    /// service is right.
    bool is_sick(unsigned upstream, core::time_point now) const;
    /// The platform's list at a time.
    std::vector<routing::listed_upstream> list(core::time_point now) const;
};

/// The fault of a name on the command line; throws if there is none.
fault_kind parse_fault(std::string const& name);

} // namespace kumquatloom::measure

#endif
