#ifndef KUMQUATLOOM_ENTRY_SHARE_PAYLOAD_HPP
#define KUMQUATLOOM_ENTRY_SHARE_PAYLOAD_HPP

#include <kumquatloom/limits/share_messages.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>

#include <cstddef>

namespace kumquatloom::entry
{

/// Longest path prefix of a rate limit that is accepted from a peer.
inline constexpr std::size_t max_prefix_bytes = 4096;

/// Wire format of a rate limit share request. Bounds the size of each string.
struct share_request_payload
{
    limits::share_request message;

    /// Serialization function for cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        using peer::bounded;
        archive(bounded<max_prefix_bytes>(message.key.prefix),
                bounded<peer::max_name_bytes>(message.key.organisation),
                bounded<peer::max_name_bytes>(message.borrower),
                message.borrower_incarnation,
                message.sequence,
                message.requested_rate);
    }
};

/// Wire format of a rate limit share grant. Bounds the size of each string.
struct share_grant_payload
{
    limits::share_grant message;

    /// Serialization function for cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        using peer::bounded;
        archive(bounded<max_prefix_bytes>(message.key.prefix),
                bounded<peer::max_name_bytes>(message.key.organisation),
                bounded<peer::max_name_bytes>(message.lender),
                bounded<peer::max_name_bytes>(message.borrower),
                message.borrower_incarnation,
                message.sequence,
                message.granted_rate);
    }
};

} // namespace kumquatloom::entry

#endif
