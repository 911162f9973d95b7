#ifndef KUMQUATLOOM_LIMITS_SHARE_MESSAGES_HPP
#define KUMQUATLOOM_LIMITS_SHARE_MESSAGES_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/allowance.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace kumquatloom::limits
{

/// Names one limit: that of an organisation on a route.
struct share_key
{
    /// Path prefix of the route.
    std::string prefix;
    /// The organisation.
    core::organisation_name organisation;

    friend bool operator==(share_key const&, share_key const&) = default;
    friend auto operator<=>(share_key const&, share_key const&) = default;

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
    share_key key;
    /// The instance that asks.
    core::instance_id taker;
    /// Its incarnation.
    core::incarnation taker_incarnation = 0;
    /// Number of the request within the taker's incarnation.
    std::uint64_t number = 0;
    /// The rate that is asked for.
    micro_rate wanted = 0;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, taker, taker_incarnation, number, wanted);
    }
};

/// Lends a part of the giver's share, which is already lowered. The lease
/// counts from the time at which the taker sent the request.
struct share_grant
{
    /// The limit.
    share_key key;
    /// The instance that lends.
    core::instance_id giver;
    /// The instance that asked.
    core::instance_id taker;
    /// Its incarnation.
    core::incarnation taker_incarnation = 0;
    /// Number of the request that is answered.
    std::uint64_t number = 0;
    /// The rate that is lent.
    micro_rate granted = 0;

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, giver, taker, taker_incarnation, number, granted);
    }
};

} // namespace kumquatloom::limits

#endif
