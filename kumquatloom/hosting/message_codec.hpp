#ifndef KUMQUATLOOM_HOSTING_MESSAGE_CODEC_HPP
#define KUMQUATLOOM_HOSTING_MESSAGE_CODEC_HPP

#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/routing/upstream_endpoint.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <chrono>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace kumquatloom::routing
{

/// cereal's entry point for an upstream of a list.
template <typename Archive>
void serialize(Archive& archive, listed_upstream& item)
{
    using peer::bounded;
    using peer::max_name_bytes;
    auto& endpoint = item.endpoint;
    std::chrono::milliseconds warm_up{0};
    if (item.warm_up)
        warm_up = std::chrono::duration_cast<std::chrono::milliseconds>(
            *item.warm_up);
    peer::wire_flag leaving(item.leaving);
    peer::wire_milliseconds cold(warm_up);
    auto id = bounded<max_name_bytes>(endpoint.id);
    auto service = bounded<max_name_bytes>(endpoint.service);
    auto host = bounded<peer::max_address_bytes>(endpoint.host);
    auto domain = bounded<max_name_bytes>(endpoint.domain);
    auto region = bounded<max_name_bytes>(endpoint.region);
    archive(id, service, host, endpoint.port, domain, region);
    archive(endpoint.slots, endpoint.incarnation, leaving, cold);
    if constexpr (Archive::is_loading::value)
        item.warm_up = warm_up;
}

} // namespace kumquatloom::routing

namespace kumquatloom::hosting
{

/// The bytes of a message; empty if a field exceeds its bound.
template <typename Message>
std::string encode(Message& message)
{
    std::ostringstream out(std::ios::binary);
    try
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(message);
    }
    catch (peer::bounds_error const&)
    {
        return {};
    }
    return std::move(out).str();
}

/// The message of the bytes; nothing if they are malformed.
template <typename Message>
std::optional<Message> decode(std::string_view bytes)
{
    std::istringstream in(std::string(bytes), std::ios::binary);
    Message message;
    try
    {
        cereal::PortableBinaryInputArchive archive(in);
        archive(message);
    }
    catch (peer::bounds_error const&)
    {
        return std::nullopt;
    }
    catch (cereal::Exception const&)
    {
        return std::nullopt;
    }
    return message;
}

} // namespace kumquatloom::hosting

#endif
