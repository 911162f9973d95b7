#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/request/ticket_keys.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::request
{

namespace
{

ticket_mac mac_of(ticket const& item, ticket_key const& key)
{
    auto const digest = core::hmac_sha256(key.secret, signed_bytes(item));
    ticket_mac mac;
    std::copy_n(digest.begin(), mac.size(), mac.begin());
    return mac;
}

std::string_view bytes_of(ticket_mac const& mac)
{
    return {reinterpret_cast<char const*>(mac.data()), mac.size()};
}

} // namespace

std::string_view to_string(ticket_validity value)
{
    switch (value)
    {
    case ticket_validity::issued:
        return "issued";
    case ticket_validity::forged:
        return "forged";
    case ticket_validity::unknown_key:
        return "unknown-key";
    case ticket_validity::count:
        break;
    }
    return {};
}

ticket_keys::ticket_keys(std::vector<ticket_key> keys)
    : keys_(std::move(keys))
{
    BOOST_ASSERT(!keys_.empty());
}

void ticket_keys::sign(ticket& item) const
{
    item.key = keys_.front().id;
    item.mac = mac_of(item, keys_.front());
}

ticket_validity ticket_keys::verify(ticket const& item) const
{
    auto const* const key = find(item.key);
    if (key == nullptr)
        return ticket_validity::unknown_key;
    auto const expected = mac_of(item, *key);
    return core::constant_time_equal(bytes_of(expected), bytes_of(item.mac))
               ? ticket_validity::issued
               : ticket_validity::forged;
}

ticket_key const* ticket_keys::find(std::uint32_t id) const
{
    auto const found = std::find_if(keys_.begin(),
                                    keys_.end(),
                                    [id](ticket_key const& key)
                                    {
                                        return key.id == id;
                                    });
    return found == keys_.end() ? nullptr : &*found;
}

} // namespace kumquatloom::request
