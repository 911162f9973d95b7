#ifndef KUMQUATLOOM_SOAK_TROUBLE_CLOCK_HPP
#define KUMQUATLOOM_SOAK_TROUBLE_CLOCK_HPP

#include <kumquatloom/core/clock.hpp>

#include <optional>

namespace kumquatloom::soak
{

/// When something was last in trouble. Promises with a time bound hold for
/// what has been calm for a while.
class trouble_clock
{
public:
    /// Trouble begins; it may overlap with other trouble.
    void begin()
    {
        ++running_;
        last_ = core::clock::now();
    }

    /// One trouble ends.
    void end()
    {
        --running_;
        last_ = core::clock::now();
    }

    /// Trouble that passes in a moment.
    void touch()
    {
        last_ = core::clock::now();
    }

    /// Whether there was none since `from`.
    bool calm_since(core::time_point from) const
    {
        return running_ == 0 && (!last_ || *last_ < from);
    }

private:
    /// Troubles that have not ended.
    int running_ = 0;
    /// When the last one began or ended.
    std::optional<core::time_point> last_;
};

} // namespace kumquatloom::soak

#endif
