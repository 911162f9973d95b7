#ifndef KUMQUATLOOM_REQUEST_TICKET_ISSUER_HPP
#define KUMQUATLOOM_REQUEST_TICKET_ISSUER_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/request/ticket.hpp>
#include <kumquatloom/request/ticket_keys.hpp>

#include <atomic>
#include <cstdint>

namespace kumquatloom::request
{

/// Issues the tickets of one incarnation. Used by several threads at once.
class ticket_issuer
{
public:
    /// The keys must outlive the issuer. The incarnation must be higher than
    /// every earlier one of the instance.
    ticket_issuer(core::instance_id owner,
                  core::incarnation incarnation,
                  ticket_keys const& keys);

    /// A new ticket for the organisation.
    ticket issue(core::organisation_name const& organisation);

    /// The instance that issues.
    core::instance_id const& owner() const
    {
        return owner_;
    }

    /// The incarnation that issues.
    core::incarnation incarnation() const
    {
        return incarnation_;
    }

private:
    /// The instance that issues.
    core::instance_id owner_;
    /// The incarnation that issues.
    core::incarnation incarnation_;
    /// Signs the tickets.
    ticket_keys const& keys_;
    /// The sequence number that was issued last.
    std::atomic<std::uint64_t> last_{0};
};

} // namespace kumquatloom::request

#endif
