#ifndef KUMQUATLOOM_LIMITS_LOAD_SHEDDER_HPP
#define KUMQUATLOOM_LIMITS_LOAD_SHEDDER_HPP

#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/limits/priority.hpp>

#include <atomic>
#include <cstddef>

namespace kumquatloom::limits
{

/// Settings of load shedding.
struct load_shedder_settings
{
    /// Most requests in the instance at one time.
    std::size_t requests = 4096;
    /// Requests above this part, in hundredths, are refused if their priority
    /// is normal.
    unsigned normal_percent = 90;
    /// The same for low priority.
    unsigned low_percent = 70;
};

/// Bounds the requests in the instance and keeps the last places for those of
/// higher priority. Used by several threads at once.
class load_shedder
{
public:
    /// Starts empty.
    explicit load_shedder(load_shedder_settings settings);

    /// Takes a place if the priority still has one, and otherwise counts the
    /// request as shed. After success leave() must be called once.
    bool try_admit(priority value);

    /// Gives a place back.
    void release();

    /// Requests in the instance.
    std::size_t requests() const
    {
        return requests_.load(std::memory_order_relaxed);
    }

    /// Requests that were shed, by priority.
    core::counter_family<priority> const& shed() const
    {
        return shed_;
    }

private:
    /// Places that requests of a priority may fill.
    std::size_t places(priority value) const;

    /// Settings.
    load_shedder_settings settings_;
    /// Requests in the instance.
    std::atomic<std::size_t> requests_{0};
    /// Requests that were shed, by priority.
    core::counter_family<priority> shed_;
};

} // namespace kumquatloom::limits

#endif
