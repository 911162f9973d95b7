#include <kumquatloom/document/append_policy.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatloom::document
{

namespace
{

/// Doubling stops here, far above every longest backoff.
constexpr unsigned max_doublings = 20;

core::duration to_duration(double seconds)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

append_policy::append_policy(append_settings settings,
                             std::function<double()> random,
                             core::time_point now)
    : settings_(settings)
    , random_(std::move(random))
    , tokens_(settings.burst)
    , refilled_(now)
    , blocked_until_(now)
{
    BOOST_ASSERT(settings_.instances > 0 && settings_.burst >= 1);
}

bool append_policy::try_take(core::time_point now)
{
    refill(now);
    if (now < blocked_until_ || tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

void append_policy::failed(core::time_point now)
{
    auto const bound = std::min<core::duration>(
        settings_.first_backoff *
            (std::int64_t{1} << std::min(failures_, max_doublings)),
        settings_.longest_backoff);
    ++failures_;
    auto const wait = std::chrono::duration<double>(bound) * random_();
    blocked_until_ = std::max(blocked_until_, now + to_duration(wait.count()));
}

void append_policy::succeeded()
{
    failures_ = 0;
}

core::time_point append_policy::next_attempt(core::time_point now) const
{
    auto copy = *this;
    copy.refill(now);
    // The nanosecond makes up for the rounding of the division.
    auto const token_at =
        copy.tokens_ >= 1
            ? now
            : now + to_duration((1 - copy.tokens_) / rate_per_s()) +
                  std::chrono::nanoseconds(1);
    return std::max(token_at, blocked_until_);
}

void append_policy::refill(core::time_point now)
{
    std::chrono::duration<double> const passed = now - refilled_;
    if (passed.count() <= 0)
        return;
    tokens_ =
        std::min(settings_.burst, tokens_ + passed.count() * rate_per_s());
    refilled_ = now;
}

double append_policy::rate_per_s() const
{
    return settings_.fleet_rate_per_s / settings_.instances;
}

} // namespace kumquatloom::document
