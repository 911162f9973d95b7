#ifndef KUMQUATLOOM_MEMBERSHIP_READ_TIME_ESTIMATOR_HPP
#define KUMQUATLOOM_MEMBERSHIP_READ_TIME_ESTIMATOR_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace kumquatloom::membership
{

/// Estimates when other instances read the store, from their heartbeats. The
/// travel time of a heartbeat makes a read look later than it was, so the
/// earliest estimate of each read is used. Instances report only reads of their
/// own, so that errors do not accumulate from instance to instance. Not
/// thread-safe.
class read_time_estimator
{
public:
    /// Adds a report that an instance began its read with this number at about
    /// `began`. Returns the earliest reported time of that read.
    core::time_point update(core::incarnation reader,
                            std::uint32_t number,
                            core::time_point began)
    {
        auto& known = reads_[reader];
        if (known.number != number)
            known = {number, began};
        else if (began < known.began)
            known.began = began;
        auto const result = known.began;
        if (reads_.size() > max_readers)
            forget_oldest();
        return result;
    }

private:
    /// Maximum number of tracked readers: several generations of the instances
    /// of a failure domain.
    static constexpr std::size_t max_readers = 256;

    /// Last reported read of an instance.
    struct reported_read
    {
        std::uint32_t number = 0;
        core::time_point began;
    };

    void forget_oldest()
    {
        auto oldest = reads_.begin();
        for (auto item = reads_.begin(); item != reads_.end(); ++item)
            if (item->second.began < oldest->second.began)
                oldest = item;
        reads_.erase(oldest);
    }

    /// Last reported read of each reader, by its incarnation.
    std::map<core::incarnation, reported_read> reads_;
};

} // namespace kumquatloom::membership

#endif
