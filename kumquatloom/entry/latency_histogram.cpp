#include <kumquatloom/entry/latency_histogram.hpp>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cstdint>

namespace kumquatloom::entry
{

namespace
{

namespace bh = boost::histogram;

/// Bucket edges: 20 per decade from 10 us to 100 s, for quantiles accurate to
/// about 12%.
constexpr double lowest_edge_s = 1e-5;
constexpr double highest_edge_s = 1e2;
constexpr unsigned bucket_count = 140;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
/// Counters that several threads increment concurrently.
using atomic_storage =
    bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;

void append_number(std::string& text, double number)
{
    char digits[32];
    auto const end =
        std::to_chars(std::begin(digits), std::end(digits), number).ptr;
    text.append(std::begin(digits), end);
}

} // namespace

class latency_histogram::buckets
{
public:
    /// Counts by bucket.
    decltype(bh::make_histogram_with(atomic_storage(),
                                     std::declval<log_axis>())) counts =
        bh::make_histogram_with(
            atomic_storage(),
            log_axis(bucket_count, lowest_edge_s, highest_edge_s));
    /// Sum of all latencies.
    std::atomic<std::uint64_t> sum_ns{0};
};

latency_histogram::latency_histogram()
    : buckets_(std::make_unique<buckets>())
{
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(core::duration latency)
{
    auto const ns = std::max<std::int64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(latency).count(),
        1);
    buckets_->counts(static_cast<double>(ns) * 1e-9);
    buckets_->sum_ns.fetch_add(static_cast<std::uint64_t>(ns),
                               std::memory_order_relaxed);
}

void latency_histogram::write(std::string_view name, std::string& text) const
{
    std::string const prefix(name);
    text += "# TYPE " + prefix + " histogram\n";
    auto const& axis = buckets_->counts.axis(0);
    std::uint64_t cumulative_count = 0;
    // Index -1 is the underflow bucket; its upper edge is the lowest edge.
    for (int index = -1; index <= static_cast<int>(bucket_count); ++index)
    {
        cumulative_count += buckets_->counts.at(index).value();
        text += prefix + "_bucket{le=\"";
        if (index == static_cast<int>(bucket_count))
            text += "+Inf";
        else
            append_number(text, axis.bin(index).upper());
        text += "\"} " + std::to_string(cumulative_count) + '\n';
    }
    text += prefix + "_sum ";
    append_number(
        text,
        static_cast<double>(buckets_->sum_ns.load(std::memory_order_relaxed)) *
            1e-9);
    text += '\n' + prefix + "_count " + std::to_string(cumulative_count) + '\n';
}

} // namespace kumquatloom::entry
