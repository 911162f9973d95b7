#include <kumquatloom/limits/token_account.hpp>

namespace kumquatloom::limits
{

namespace
{

constexpr std::int64_t nanoseconds_per_second = 1000000000;

/// The product of a rate and a time exceeds 64 bits within seconds.
__extension__ typedef __int128 wide; // NOLINT(modernize-use-using)

} // namespace

std::int64_t earned_parts(microtoken_rate rate, core::duration time)
{
    if (time <= core::duration::zero() || rate <= 0)
        return 0;
    constexpr wide divisor =
        wide(nanoseconds_per_second) * (micro_rate_of_one / parts_per_token);
    return static_cast<std::int64_t>(wide(rate) * time.count() / divisor);
}

} // namespace kumquatloom::limits
