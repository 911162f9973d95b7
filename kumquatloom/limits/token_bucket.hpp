#ifndef KUMQUATLOOM_LIMITS_TOKEN_BUCKET_HPP
#define KUMQUATLOOM_LIMITS_TOKEN_BUCKET_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/token_account.hpp>

namespace kumquatloom::limits
{

struct token_bucket_settings
{
    /// Tokens added each second.
    double rate_per_s = 1;
    /// Capacity of the bucket in tokens.
    double burst = 1;
};

/// Token bucket: over any time t at most burst + rate * t tokens are taken.
/// Thread-safe.
class token_bucket
{
public:
    /// Starts full.
    token_bucket(token_bucket_settings settings, core::time_point now);

    /// Takes one token if there is one.
    bool try_take(core::time_point now);

private:
    microtoken_rate rate_;
    /// Capacity of the bucket in thousandths of a token.
    std::int64_t burst_;
    /// Start of the credit's accrual.
    core::time_point start_;
    token_account spent_;
};

} // namespace kumquatloom::limits

#endif
