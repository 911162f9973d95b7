#ifndef KUMQUATLOOM_REQUEST_TICKET_HPP
#define KUMQUATLOOM_REQUEST_TICKET_HPP

#include <kumquatloom/core/ids.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::request
{

/// Message authentication code of a ticket: a truncated HMAC-SHA-256.
using ticket_mac = std::array<std::uint8_t, 16>;

/// An idempotency key that the fleet issues. A caller that sends it with a
/// request can resend the request without running it twice. Only the
/// incarnation that issued the ticket runs the request.
struct ticket
{
    /// The instance that issued the ticket and runs the request.
    core::instance_id owner;
    /// Incarnation of the owner.
    core::incarnation incarnation = 0;
    /// Sequence number within the incarnation, from 1.
    std::uint64_t sequence = 0;
    /// Hash of the organisation that may use the ticket.
    std::uint64_t organisation = 0;
    /// Id of the fleet key with which the ticket is signed.
    std::uint32_t key = 0;
    /// Authenticates the members above.
    ticket_mac mac{};

    friend bool operator==(ticket const&, ticket const&) = default;
};

/// Hash of an organisation's name for tickets. Uses SHA-256, so that nobody can
/// choose a name that collides with another.
std::uint64_t ticket_organisation(core::organisation_name const& name);

/// The bytes of a ticket that are signed. A prefix separates them from all
/// other texts that are signed with a fleet key.
std::string signed_bytes(ticket const& item);

/// The value of the header field: six hexadecimal parts separated by dots.
std::string to_text(ticket const& item);

/// Parses the value of the header field. Returns nothing if the text is not
/// exactly what to_text() writes.
std::optional<ticket> parse_ticket(std::string_view text);

} // namespace kumquatloom::request

#endif
