#ifndef KUMQUATLOOM_LIMITS_SHARE_MESSAGES_HPP
#define KUMQUATLOOM_LIMITS_SHARE_MESSAGES_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/token_account.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace kumquatloom::limits
{

/// Identifies one rate limit: that of an organisation on a route.
struct limit_key
{
    /// Path prefix of the route.
    std::string prefix;
    core::organisation_name organisation;

    friend bool operator==(limit_key const&, limit_key const&) = default;
    friend auto operator<=>(limit_key const&, limit_key const&) = default;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(prefix, organisation);
    }
};

/// Asks a peer to lend a part of its share of a rate limit.
struct share_request
{
    limit_key key;
    /// The instance that sends the request.
    core::instance_id borrower;
    core::incarnation borrower_incarnation = 0;
    /// Increases with each request of the borrower's incarnation.
    std::uint64_t sequence = 0;
    /// The rate to borrow.
    microtoken_rate requested_rate = 0;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, borrower, borrower_incarnation, sequence, requested_rate);
    }
};

/// Lends a part of the sender's share, which the sender has already lowered.
/// The lease starts when the borrower sent the request, not when it receives
/// the grant.
struct share_grant
{
    limit_key key;
    /// The instance that sends the grant.
    core::instance_id lender;
    /// The instance that sent the request.
    core::instance_id borrower;
    core::incarnation borrower_incarnation = 0;
    /// Sequence number of the request.
    std::uint64_t sequence = 0;
    /// The rate that is lent.
    microtoken_rate granted_rate = 0;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key,
                lender,
                borrower,
                borrower_incarnation,
                sequence,
                granted_rate);
    }
};

} // namespace kumquatloom::limits

#endif
