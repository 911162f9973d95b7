#ifndef KUMQUATLOOM_LIMITS_LOAD_SHEDDER_HPP
#define KUMQUATLOOM_LIMITS_LOAD_SHEDDER_HPP

#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/limits/priority.hpp>

#include <atomic>
#include <cstddef>

namespace kumquatloom::limits
{

struct load_shedder_settings
{
    /// Most requests in flight in the instance.
    std::size_t max_requests = 4096;
    /// Requests of normal priority are shed at this percentage of
    /// `max_requests`.
    unsigned normal_percent = 90;
    /// Requests of low priority are shed at this percentage of `max_requests`.
    unsigned low_percent = 70;
};

/// Bounds the requests in flight in the instance and reserves the last part of
/// the capacity for requests of higher priority. Thread-safe.
class load_shedder
{
public:
    explicit load_shedder(load_shedder_settings settings);

    /// Admits a request if there is capacity left for its priority, and counts
    /// it as shed otherwise. After success release() must be called once.
    bool try_admit(priority value);

    /// Ends a request that was admitted.
    void release();

    /// Requests in flight in the instance.
    std::size_t requests() const
    {
        return requests_.load(std::memory_order_relaxed);
    }

    /// Number of requests shed, by priority.
    core::counter_family<priority> const& shed() const
    {
        return shed_;
    }

private:
    /// Number of requests in flight at which requests of a priority are shed.
    std::size_t capacity_for(priority value) const;

    load_shedder_settings settings_;
    std::atomic<std::size_t> requests_{0};
    core::counter_family<priority> shed_;
};

} // namespace kumquatloom::limits

#endif
