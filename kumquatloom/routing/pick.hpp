#ifndef KUMQUATLOOM_ROUTING_PICK_HPP
#define KUMQUATLOOM_ROUTING_PICK_HPP

#include <kumquatloom/routing/pick_tier.hpp>
#include <kumquatloom/routing/upstream.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>
#include <span>

namespace kumquatloom::routing
{

/// An upstream that was chosen for an attempt. `picker::finished` must follow.
struct pick
{
    /// The upstream.
    boost::intrusive_ptr<upstream> object;
    /// How far from the instance it was picked.
    pick_tier tier = pick_tier::own_domain;
};

/// What a request asks of the picker.
struct pick_request
{
    /// Upstreams that the request tried already.
    std::span<boost::intrusive_ptr<upstream> const> tried;
    /// Whether the request may serve as a trial; only one that may be repeated
    /// does, so that a failed trial costs its caller nothing but time.
    bool may_be_trial = false;
    /// Random bits of the caller's generator.
    std::uint64_t random = 0;
};

} // namespace kumquatloom::routing

#endif
