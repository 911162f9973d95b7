#ifndef KUMQUATLOOM_ROUTING_TRIAL_PERMISSION_HPP
#define KUMQUATLOOM_ROUTING_TRIAL_PERMISSION_HPP

namespace kumquatloom::routing
{

/// Which trials at avoided upstreams a request may carry.
enum class trial_permission
{
    none,
    /// Only requests that keep the upstream covered, see
    /// health::standing_decision::coverage_due_at.
    coverage,
    /// All trials that are due.
    due
};

} // namespace kumquatloom::routing

#endif
