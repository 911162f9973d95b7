#ifndef KUMQUATLOOM_REQUEST_TICKET_ISSUER_HPP
#define KUMQUATLOOM_REQUEST_TICKET_ISSUER_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/request/ticket.hpp>
#include <kumquatloom/request/ticket_keys.hpp>

#include <atomic>
#include <cstdint>

namespace kumquatloom::request
{

/// Issues the tickets of one incarnation. Thread-safe.
class ticket_issuer
{
public:
    /// The keys must outlive the issuer. The incarnation must be higher than
    /// all earlier ones of the instance.
    ticket_issuer(core::instance_id owner,
                  core::incarnation incarnation,
                  ticket_keys const& keys);

    /// Issues a new ticket for an organisation.
    ticket issue(core::organisation_name const& organisation);

    /// The issuing instance.
    core::instance_id const& owner() const
    {
        return owner_;
    }

    /// The issuing incarnation.
    core::incarnation incarnation() const
    {
        return incarnation_;
    }

private:
    core::instance_id owner_;
    core::incarnation incarnation_;
    ticket_keys const& keys_;
    /// Sequence number of the latest ticket.
    std::atomic<std::uint64_t> last_{0};
};

} // namespace kumquatloom::request

#endif
