#ifndef KUMQUATLOOM_ENTRY_SHARE_PAYLOAD_HPP
#define KUMQUATLOOM_ENTRY_SHARE_PAYLOAD_HPP

#include <kumquatloom/limits/share_messages.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>

#include <cstddef>

namespace kumquatloom::entry
{

/// Longest path prefix of a limit that is accepted from a peer.
inline constexpr std::size_t max_prefix_bytes = 4096;

/// A request for a share in the form in which it travels, with a bound on each
/// text.
struct share_request_payload
{
    /// The request.
    limits::share_request message;

    /// cereal's entry point.
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

/// A grant of a share in the form in which it travels.
struct share_grant_payload
{
    /// The grant.
    limits::share_grant message;

    /// cereal's entry point.
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
