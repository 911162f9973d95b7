#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/health/ejection_view.hpp>

#include <algorithm>

namespace kumquatloom::health
{

upstream_standing ejection_view::standing(core::upstream_id const& upstream,
                                          core::time_point now) const
{
    auto const holds = [&](ejection_slot const& slot)
    {
        return !slot.is_free() && slot.upstream == upstream;
    };
    if (std::none_of(slots_.begin(), slots_.end(), holds))
        return upstream_standing::normal;
    bool const honoured =
        now < lease_expiry_ ||
        core::is_mutated(core::mutation::honour_ejection_without_freshness);
    return honoured ? upstream_standing::ejected : upstream_standing::avoided;
}

} // namespace kumquatloom::health
