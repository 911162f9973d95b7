#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/new_incarnation.hpp>

#include <chrono>

namespace kumquatloom::core
{

incarnation new_incarnation()
{
    constexpr unsigned random_bits = 16;
    auto const since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    return (static_cast<incarnation>(since_epoch.count()) << random_bits) |
           (random_u64() & ((1U << random_bits) - 1));
}

} // namespace kumquatloom::core
