#include <kumquatloom/limits/shortage_state.hpp>

#include <chrono>

namespace kumquatloom::limits
{

namespace
{

/// Time without a refusal after which a shortage has ended.
constexpr std::chrono::seconds quiet_time{1};

} // namespace

shortage_change shortage_state::record_refusal(core::time_point now)
{
    bool const began = !is_short_;
    if (began)
    {
        began_ = now;
        refused_ = 0;
    }
    is_short_ = true;
    last_ = now;
    ++refused_;
    return began ? shortage_change::began : shortage_change::none;
}

shortage_change shortage_state::update(std::size_t waiting,
                                       core::time_point now)
{
    if (!is_short_ || waiting != 0 || now - last_ < quiet_time)
        return shortage_change::none;
    is_short_ = false;
    return shortage_change::ended;
}

} // namespace kumquatloom::limits
