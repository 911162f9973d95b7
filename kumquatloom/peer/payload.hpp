#ifndef KUMQUATLOOM_PEER_PAYLOAD_HPP
#define KUMQUATLOOM_PEER_PAYLOAD_HPP

#include <kumquatloom/peer/view_buffer.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace kumquatloom::peer
{

/// Turns a value into bytes. This header compiles cereal's archives, so only
/// sources include it. Throws if a field is out of bounds.
template <typename Value>
std::string encode_payload(Value const& value)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(value);
    }
    return std::move(out).str();
}

/// The value that the bytes hold, or nothing if they are not exactly one. The
/// type must bound its own containers, see bounded.hpp: cereal does not.
template <typename Value>
std::optional<Value> decode_payload(std::string_view bytes)
{
    view_buffer buffer(bytes);
    std::istream in(&buffer);
    try
    {
        Value value;
        cereal::PortableBinaryInputArchive archive(in);
        archive(value);
        if (buffer.remaining() != 0)
            return std::nullopt;
        return value;
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace kumquatloom::peer

#endif
