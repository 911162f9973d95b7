#include <kumquatloom/request/ticket_issuer.hpp>

#include <utility>

namespace kumquatloom::request
{

ticket_issuer::ticket_issuer(core::instance_id owner,
                             core::incarnation incarnation,
                             ticket_keys const& keys)
    : owner_(std::move(owner))
    , incarnation_(incarnation)
    , keys_(keys)
{
}

ticket ticket_issuer::issue(core::organisation_name const& organisation)
{
    ticket item;
    item.owner = owner_;
    item.incarnation = incarnation_;
    item.sequence = last_.fetch_add(1, std::memory_order_relaxed) + 1;
    item.organisation = ticket_organisation(organisation);
    keys_.sign(item);
    return item;
}

} // namespace kumquatloom::request
