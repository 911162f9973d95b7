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

/// The proof that the fleet issued a ticket: a truncated HMAC-SHA-256.
using ticket_mac = std::array<std::uint8_t, 16>;

/// Lets a caller send one request again without running it twice. Only the
/// incarnation that issued the ticket runs its request.
struct ticket
{
    /// The instance that runs the request.
    core::instance_id owner;
    /// The process start of that instance.
    core::incarnation incarnation = 0;
    /// Number of the ticket within the incarnation, from 1.
    std::uint64_t sequence = 0;
    /// Hash of the organisation that may use it.
    std::uint64_t organisation = 0;
    /// Number of the fleet key that it is signed with.
    std::uint32_t key = 0;
    /// Proof of the members above.
    ticket_mac mac{};

    friend bool operator==(ticket const&, ticket const&) = default;
};

/// Hash of an organisation's name as it stands in tickets, from SHA-256,
/// because a chosen name must not collide with another.
std::uint64_t ticket_organisation(core::organisation_name const& name);

/// The signed bytes of a ticket, which differ from every other text that is
/// signed with a fleet key.
std::string signed_bytes(ticket const& item);

/// Text of the header field: six hexadecimal parts with dots between them.
std::string to_text(ticket const& item);

/// Reads the text of a header field; nothing if it is not exactly what
/// to_text() writes.
std::optional<ticket> parse_ticket(std::string_view text);

} // namespace kumquatloom::request

#endif
