#ifndef KUMQUATLOOM_LIMITS_SIZE_ESTIMATE_HPP
#define KUMQUATLOOM_LIMITS_SIZE_ESTIMATE_HPP

#include <cstddef>

namespace kumquatloom::limits
{

/// Estimate of the size of the next large message: the largest of the recent
/// ones. A larger one raises it at once, and smaller ones lower it slowly. Not
/// thread-safe.
class size_estimate
{
public:
    void record(std::size_t bytes)
    {
        if (bytes >= bytes_)
            bytes_ = bytes;
        else
            bytes_ -= (bytes_ - bytes) / decay_divisor;
    }

    /// Zero before the first sample.
    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    /// After about 40 small messages a tenth of the estimate is left.
    static constexpr std::size_t decay_divisor = 16;

    std::size_t bytes_ = 0;
};

} // namespace kumquatloom::limits

#endif
