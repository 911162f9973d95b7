#ifndef KUMQUATLOOM_LIMITS_SHARE_MESSAGES_HPP
#define KUMQUATLOOM_LIMITS_SHARE_MESSAGES_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/token_account.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace kumquatloom::limits
{

/// Names one limit: that of an organisation on a route.
struct limit_key
{
    /// Path prefix of the route.
    std::string prefix;
    /// The organisation.
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

/// Asks one instance for a part of its share.
struct share_request
{
    /// The limit.
    limit_key key;
    /// The instance that asks.
    core::instance_id borrower;
    /// Its incarnation.
    core::incarnation borrower_incarnation = 0;
    /// Number of the request within the taker's incarnation.
    std::uint64_t sequence = 0;
    /// The rate that is asked for.
    microtoken_rate requested_rate = 0;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, borrower, borrower_incarnation, sequence, requested_rate);
    }
};

/// Lends a part of the giver's share, which is already lowered. The lease
/// counts from the time at which the taker sent the request.
struct share_grant
{
    /// The limit.
    limit_key key;
    /// The instance that lends.
    core::instance_id lender;
    /// The instance that asked.
    core::instance_id borrower;
    /// Its incarnation.
    core::incarnation borrower_incarnation = 0;
    /// Number of the request that is answered.
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
