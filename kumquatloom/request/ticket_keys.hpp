#ifndef KUMQUATLOOM_REQUEST_TICKET_KEYS_HPP
#define KUMQUATLOOM_REQUEST_TICKET_KEYS_HPP

#include <kumquatloom/request/ticket.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatloom::request
{

/// A fleet key as tickets use it.
struct ticket_key
{
    /// Number by which tickets name the key.
    std::uint32_t id = 0;
    /// The secret bytes.
    std::string secret;
};

/// What the signature of a ticket proves.
enum class ticket_proof
{
    /// The fleet issued it.
    issued,
    /// The fleet did not issue it.
    forged,
    /// The named key is not known here, so that neither is proven.
    unknown_key,
    count
};

/// Text of the metric label.
std::string_view to_string(ticket_proof value);

/// Signs tickets with the first key and verifies them with every key. Does not
/// change after construction.
class ticket_keys
{
public:
    /// Takes one or two keys with different numbers.
    explicit ticket_keys(std::vector<ticket_key> keys);

    /// Fills in the key number and the proof.
    void sign(ticket& item) const;

    /// Verifies the proof.
    ticket_proof verify(ticket const& item) const;

private:
    /// The key of a number, or null.
    ticket_key const* find(std::uint32_t id) const;

    /// All keys that are valid now.
    std::vector<ticket_key> keys_;
};

} // namespace kumquatloom::request

#endif
