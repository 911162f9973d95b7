#ifndef KUMQUATLOOM_HOSTING_QUOTA_MESSAGE_HPP
#define KUMQUATLOOM_HOSTING_QUOTA_MESSAGE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/message_codec.hpp>
#include <kumquatloom/limits/quota_update.hpp>

#include <cstddef>
#include <cstdint>

namespace kumquatloom::hosting
{

/// Bounds of a message. With 10 bytes for each count, it fits a datagram of
/// 1,200 bytes.
inline constexpr std::size_t max_quota_counts = 96;
inline constexpr std::size_t max_quota_unheard = 32;
/// Version of the format. It differs from the versions of the other messages,
/// so that a receiver distinguishes them by it, and an instance of an older
/// build rejects the message as one of an unknown version.
inline constexpr std::uint8_t quota_message_version = 129;

/// Use of the organisations' quotas by one instance, sent to its neighbours, or
/// by all instances of a failure domain, sent to other domains. Sent only while
/// the configuration contains quotas.
struct quota_message
{
    std::uint8_t version = quota_message_version;
    /// Failure domain of the sender.
    core::failure_domain domain;
    /// Whether the counts are sums over all instances of the domain.
    bool is_domain_total = false;
    limits::quota_update update;

    /// Serializes the message with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version);
        if (version != quota_message_version)
            throw peer::bounds_error();
        auto name = peer::bounded<peer::max_name_bytes>(domain);
        peer::wire_flag total_flag(is_domain_total);
        peer::wire_flag leaving_flag(update.leaving);
        peer::wire_milliseconds uptime(update.uptime);
        auto unheard = peer::bounded<max_quota_unheard>(update.unheard);
        auto counts = peer::bounded<max_quota_counts>(update.counts);
        archive(name, total_flag, update.incarnation, update.sequence);
        archive(uptime, update.instances, update.unobserved, leaving_flag);
        archive(unheard, counts);
    }
};

} // namespace kumquatloom::hosting

#endif
