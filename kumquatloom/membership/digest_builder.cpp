#include <kumquatloom/membership/digest_builder.hpp>
#include <kumquatloom/peer/limits.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::membership
{

namespace
{

/// Space for members in a datagram: what is left by the frame header, the
/// longest sender id and region, and the fixed fields.
constexpr std::size_t room_bytes = peer::max_datagram_bytes - 220;

/// Size of a member's fixed fields and the length prefixes of its strings.
constexpr std::size_t member_fixed_bytes = 19;

std::size_t size_of(peer::digest_member const& item)
{
    return member_fixed_bytes + item.id.value().size() +
           item.callers_address.size() + item.peer_address.size();
}

} // namespace

digest_builder::digest_builder(core::region region,
                               std::uint16_t cell,
                               core::log_offset lowest_offset,
                               core::log_offset highest_offset)
{
    current_.region = std::move(region);
    current_.cell = cell;
    current_.lowest_offset = lowest_offset;
    current_.highest_offset = highest_offset;
}

void digest_builder::add(peer::digest_member item,
                         core::failure_domain const& domain)
{
    auto const size = size_of(item) + 1 + domain.value().size();
    if (size_bytes_ + size > room_bytes ||
        current_.members.size() >= peer::max_cell_members)
        flush();
    auto& domains = current_.domains;
    auto const found =
        std::find(domains.begin(), domains.end(), peer::digest_domain{domain});
    item.domain_index = static_cast<std::uint8_t>(found - domains.begin());
    if (found == domains.end())
        domains.push_back({domain});
    current_.members.push_back(std::move(item));
    // The domain name is counted for each member, although it is stored once.
    // This wastes space but never exceeds the limit.
    size_bytes_ += size;
}

std::vector<peer::cell_digest> digest_builder::finish()
{
    if (!current_.members.empty() || full_.empty())
        flush();
    return std::move(full_);
}

void digest_builder::flush()
{
    full_.push_back(current_);
    current_.domains.clear();
    current_.members.clear();
    size_bytes_ = 0;
}

} // namespace kumquatloom::membership
