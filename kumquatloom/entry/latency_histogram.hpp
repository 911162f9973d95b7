#ifndef KUMQUATLOOM_ENTRY_LATENCY_HISTOGRAM_HPP
#define KUMQUATLOOM_ENTRY_LATENCY_HISTOGRAM_HPP

#include <kumquatloom/core/clock.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace kumquatloom::entry
{

/// Counts latencies in log-spaced buckets. All threads may record.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram const&) = delete;
    latency_histogram& operator=(latency_histogram const&) = delete;

    /// Counts one latency.
    void record(core::duration latency);

    /// Appends the histogram in the Prometheus text format.
    void write(std::string_view name, std::string& text) const;

private:
    class buckets;

    /// Keeps Boost.Histogram out of the header.
    std::unique_ptr<buckets> buckets_;
};

} // namespace kumquatloom::entry

#endif
