#ifndef KUMQUATLOOM_HEALTH_EJECTION_SLOT_HPP
#define KUMQUATLOOM_HEALTH_EJECTION_SLOT_HPP

#include <kumquatloom/core/ids.hpp>

namespace kumquatloom::health
{

/// One slot of a service's ejection budget.
struct ejection_slot
{
    /// The ejected upstream; empty if the slot is free.
    core::upstream_id upstream;
    /// Log offset of the ejection in force; 0 if the slot is free.
    core::log_offset ejection = 0;
    /// Log offset of the last release; 0 if the slot was never released.
    core::log_offset release = 0;

    /// Whether the slot holds no ejection.
    bool is_free() const
    {
        return upstream.empty();
    }

    friend bool operator==(ejection_slot const&,
                           ejection_slot const&) = default;
};

} // namespace kumquatloom::health

#endif
