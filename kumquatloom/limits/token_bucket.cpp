#include <kumquatloom/limits/token_bucket.hpp>

#include <boost/assert.hpp>

namespace kumquatloom::limits
{

token_bucket::token_bucket(token_bucket_settings settings, core::time_point now)
    : rate_(
          static_cast<microtoken_rate>(settings.rate_per_s * micro_rate_of_one))
    , burst_(static_cast<std::int64_t>(settings.burst * parts_per_token))
    , start_(now)
    , taken_(burst_)
{
    BOOST_ASSERT(settings.rate_per_s >= 0);
    BOOST_ASSERT(settings.burst >= 0);
}

bool token_bucket::try_take(core::time_point now)
{
    return taken_.take(
        earned_parts(rate_, now - start_), burst_, parts_per_token);
}

} // namespace kumquatloom::limits
