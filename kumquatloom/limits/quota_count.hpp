#ifndef KUMQUATLOOM_LIMITS_QUOTA_COUNT_HPP
#define KUMQUATLOOM_LIMITS_QUOTA_COUNT_HPP

#include <cstdint>

namespace kumquatloom::limits
{

/// Requests of an organisation at one source since the source began to count.
struct quota_count
{
    /// Hash of the organisation's name; see quota_key().
    std::uint32_t organisation = 0;
    /// Requests admitted.
    std::uint32_t admitted = 0;
    /// Requests admitted or refused, modulo 65,536.
    std::uint16_t offered = 0;

    /// Serializes with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(organisation, admitted, offered);
    }

    friend bool operator==(quota_count const&, quota_count const&) = default;
};

} // namespace kumquatloom::limits

#endif
