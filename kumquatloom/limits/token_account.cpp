#include <kumquatloom/limits/token_account.hpp>

namespace kumquatloom::limits
{

namespace
{

constexpr std::int64_t nanoseconds_per_second = 1000000000;

/// The product of a rate and a time in nanoseconds can exceed 64 bits within
/// seconds.
__extension__ typedef __int128 wide; // NOLINT(modernize-use-using)

} // namespace

std::int64_t accrued_millitokens(microtoken_rate rate, core::duration time)
{
    if (time <= core::duration::zero() || rate <= 0)
        return 0;
    constexpr wide divisor = wide(nanoseconds_per_second) *
                             (microtokens_per_token / millitokens_per_token);
    return static_cast<std::int64_t>(wide(rate) * time.count() / divisor);
}

} // namespace kumquatloom::limits
