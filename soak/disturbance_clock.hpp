#ifndef KUMQUATLOOM_SOAK_DISTURBANCE_CLOCK_HPP
#define KUMQUATLOOM_SOAK_DISTURBANCE_CLOCK_HPP

#include <kumquatloom/core/clock.hpp>

#include <optional>

namespace kumquatloom::soak
{

/// Records when faults last disturbed a part of the soak. Guarantees with a
/// time bound apply only to parts that have been undisturbed for some time.
class disturbance_clock
{
public:
    /// Records the beginning of a disturbance; disturbances may overlap.
    void begin()
    {
        ++running_;
        last_ = core::clock::now();
    }

    /// Records the end of a disturbance.
    void end()
    {
        --running_;
        last_ = core::clock::now();
    }

    /// Records a momentary disturbance.
    void touch()
    {
        last_ = core::clock::now();
    }

    /// Whether there has been no disturbance since `from`.
    bool stable_since(core::time_point from) const
    {
        return running_ == 0 && (!last_ || *last_ < from);
    }

private:
    /// Number of disturbances that have not ended.
    int running_ = 0;
    /// When the last disturbance began or ended.
    std::optional<core::time_point> last_;
};

} // namespace kumquatloom::soak

#endif
