#ifndef KUMQUATLOOM_ROUTING_PICK_HPP
#define KUMQUATLOOM_ROUTING_PICK_HPP

#include <kumquatloom/routing/pick_tier.hpp>
#include <kumquatloom/routing/success_preference.hpp>
#include <kumquatloom/routing/trial_permission.hpp>
#include <kumquatloom/routing/upstream.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>
#include <span>

namespace kumquatloom::routing
{

/// An upstream that was chosen for an attempt. The attempt must be ended with
/// `picker::finish_attempt`.
struct pick
{
    /// The upstream.
    boost::intrusive_ptr<upstream> object;
    /// The tier that the upstream was picked from.
    pick_tier tier = pick_tier::own_domain;
};

/// Constraints of a request on the choice of an upstream.
struct pick_request
{
    /// Upstreams that the request has already tried.
    std::span<boost::intrusive_ptr<upstream> const> tried;
    /// Which trials the request may carry. Unless a service serves only part of
    /// its requests, it must be `none` for a request that cannot be retried, so
    /// that a failed trial costs its caller only time.
    trial_permission trial = trial_permission::none;
    /// Random bits, the seed of the choice.
    std::uint64_t random = 0;
    /// Which upstreams are preferred by the time of their last success. Unless
    /// it is `none`, a trial also requires another upstream that has recently
    /// succeeded and has a free slot.
    success_preference preference = success_preference::none;
};

} // namespace kumquatloom::routing

#endif
