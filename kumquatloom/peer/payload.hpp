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

/// Encodes a value in cereal's portable binary format. Throws bounds_error if a
/// field is out of bounds. Included only by source files, because this header
/// instantiates cereal's archives.
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

/// Decodes a value; nothing if the bytes are malformed or have trailing data.
/// The type must bound its own containers, see bounded.hpp, because cereal does
/// not.
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
