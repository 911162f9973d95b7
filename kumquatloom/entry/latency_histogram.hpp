#ifndef KUMQUATLOOM_ENTRY_LATENCY_HISTOGRAM_HPP
#define KUMQUATLOOM_ENTRY_LATENCY_HISTOGRAM_HPP

#include <kumquatloom/core/clock.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace kumquatloom::entry
{

/// Histogram of latencies with logarithmic buckets. Thread-safe.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram const&) = delete;
    latency_histogram& operator=(latency_histogram const&) = delete;

    /// Adds one latency.
    void record(core::duration latency);

    /// Appends the histogram in the Prometheus text format.
    void write(std::string_view name, std::string& text) const;

private:
    class buckets;

    /// Hides Boost.Histogram from users of this header.
    std::unique_ptr<buckets> buckets_;
};

} // namespace kumquatloom::entry

#endif
