#include <kumquatloom/document/append_policy.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatloom::document
{

namespace
{

/// Limits the exponent so that the backoff cannot overflow; max_backoff is
/// reached much earlier.
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
    , refilled_at_(now)
    , blocked_until_(now)
{
    BOOST_ASSERT(settings_.instances > 0 && settings_.burst >= 1);
}

bool append_policy::try_acquire(core::time_point now)
{
    refill(now);
    if (now < blocked_until_ || tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

void append_policy::record_failure(core::time_point now)
{
    auto const max_delay = std::min<core::duration>(
        settings_.initial_backoff *
            (std::int64_t{1} << std::min(failures_, max_doublings)),
        settings_.max_backoff);
    ++failures_;
    auto const delay = std::chrono::duration<double>(max_delay) * random_();
    blocked_until_ = std::max(blocked_until_, now + to_duration(delay.count()));
}

void append_policy::record_success()
{
    failures_ = 0;
}

core::time_point append_policy::next_attempt(core::time_point now) const
{
    auto refilled = *this;
    refilled.refill(now);
    // The extra nanosecond compensates for the rounding of the division.
    auto const token_available_at =
        refilled.tokens_ >= 1
            ? now
            : now + to_duration((1 - refilled.tokens_) / rate_per_s()) +
                  std::chrono::nanoseconds(1);
    return std::max(token_available_at, blocked_until_);
}

void append_policy::refill(core::time_point now)
{
    std::chrono::duration<double> const elapsed = now - refilled_at_;
    if (elapsed.count() <= 0)
        return;
    tokens_ =
        std::min(settings_.burst, tokens_ + elapsed.count() * rate_per_s());
    refilled_at_ = now;
}

double append_policy::rate_per_s() const
{
    return settings_.fleet_rate_per_s / settings_.instances;
}

} // namespace kumquatloom::document
