#ifndef KUMQUATLOOM_MEMBERSHIP_READ_TIME_ESTIMATOR_HPP
#define KUMQUATLOOM_MEMBERSHIP_READ_TIME_ESTIMATOR_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace kumquatloom::membership
{

/// When other instances have read the store, as their heartbeats tell. The
/// time that a heartbeat takes makes a read look later than it was, so that
/// the earliest estimate of each read counts; and only reads that an instance
/// has made itself are told, so that the error does not add up from instance
/// to instance. Belongs to one thread.
class read_time_estimator
{
public:
    /// Takes over that an instance began its read with this number at about
    /// `began`, and returns the best estimate of when it did.
    core::time_point
    hear(core::incarnation reader, std::uint32_t number, core::time_point began)
    {
        auto& known = reads_[reader];
        if (known.number != number)
            known = {number, began};
        else if (began < known.began)
            known.began = began;
        auto const result = known.began;
        if (reads_.size() > most_readers)
            forget_oldest();
        return result;
    }

private:
    /// Readers that are remembered: several generations of the instances of a
    /// failure domain.
    static constexpr std::size_t most_readers = 256;

    /// The last read of an instance.
    struct known_read
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

    /// Last reads by process start.
    std::map<core::incarnation, known_read> reads_;
};

} // namespace kumquatloom::membership

#endif
