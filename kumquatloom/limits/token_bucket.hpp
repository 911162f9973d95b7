#ifndef KUMQUATLOOM_LIMITS_TOKEN_BUCKET_HPP
#define KUMQUATLOOM_LIMITS_TOKEN_BUCKET_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/token_account.hpp>

namespace kumquatloom::limits
{

/// Settings of a token bucket.
struct token_bucket_settings
{
    /// Tokens that are added each second.
    double rate_per_s = 1;
    /// Tokens that the bucket holds.
    double burst = 1;
};

/// Limits how often something happens: in any time t at most
/// burst + rate * t tokens are taken. Used by several threads at once.
class token_bucket
{
public:
    /// Starts full.
    token_bucket(token_bucket_settings settings, core::time_point now);

    /// Takes one token if there is one.
    bool try_take(core::time_point now);

private:
    /// Tokens added each second.
    microtoken_rate rate_;
    /// Parts of tokens that the bucket holds.
    std::int64_t burst_;
    /// When the credit was zero.
    core::time_point start_;
    /// What was taken.
    allowance taken_;
};

} // namespace kumquatloom::limits

#endif
