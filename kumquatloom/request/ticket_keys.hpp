#ifndef KUMQUATLOOM_REQUEST_TICKET_KEYS_HPP
#define KUMQUATLOOM_REQUEST_TICKET_KEYS_HPP

#include <kumquatloom/request/ticket.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatloom::request
{

/// A key of the fleet with which tickets are signed.
struct ticket_key
{
    /// Identifies the key in tickets.
    std::uint32_t id = 0;
    std::string secret;
};

/// Result of verifying the signature of a ticket.
enum class ticket_validity
{
    /// The fleet issued the ticket.
    issued,
    /// The fleet did not issue the ticket.
    forged,
    /// The key is not known here, so the signature cannot be verified.
    unknown_key,
    count
};

std::string_view to_string(ticket_validity value);

/// Signs tickets with the first key and verifies them with any key. Immutable.
class ticket_keys
{
public:
    /// Takes one or two keys with different ids.
    explicit ticket_keys(std::vector<ticket_key> keys);

    /// Sets the key id and the MAC of a ticket.
    void sign(ticket& item) const;

    /// Verifies the MAC of a ticket.
    ticket_validity verify(ticket const& item) const;

private:
    /// The key with an id, or null.
    ticket_key const* find(std::uint32_t id) const;

    /// All valid keys; the first one signs.
    std::vector<ticket_key> keys_;
};

} // namespace kumquatloom::request

#endif
