#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/peer/frame_codec.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/payload.hpp>

#include <boost/assert.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <exception>
#include <utility>

namespace kumquatloom::peer
{

namespace
{

/// Magic number at the start of every frame.
constexpr std::uint32_t magic = 0x4D4C514B;
/// Size of the truncated HMAC at the end of a frame.
constexpr std::size_t mac_bytes = 16;
/// Size of the header without the sender id.
constexpr std::size_t header_bytes = 39;
static_assert(header_bytes + mac_bytes == frame_codec::overhead_bytes);

/// Fixed-size fields at the start of a frame, in wire order.
struct frame_header
{
    std::uint32_t magic = 0;
    std::uint8_t version = 0;
    std::uint8_t kind = 0;
    std::uint8_t sender_size = 0;
    std::uint32_t key_id = 0;
    std::uint64_t fleet_hash = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t length = 0;
};

/// Appends integers in little-endian order.
class header_writer
{
public:
    explicit header_writer(std::string& out)
        : out_(out)
    {
    }

    template <typename Number>
    void write(Number value)
    {
        auto const ordered = boost::endian::native_to_little(value);
        out_.append(reinterpret_cast<char const*>(&ordered), sizeof ordered);
    }

private:
    std::string& out_;
};

/// Reads integers in little-endian order without checking the remaining size.
class header_reader
{
public:
    explicit header_reader(std::string_view bytes)
        : next_(reinterpret_cast<unsigned char const*>(bytes.data()))
    {
    }

    template <typename Number>
    void read(Number& value)
    {
        value = boost::endian::endian_load<Number,
                                           sizeof(Number),
                                           boost::endian::order::little>(next_);
        next_ += sizeof(Number);
    }

private:
    unsigned char const* next_;
};

/// Reads the header; `bytes` must have at least `header_bytes` bytes.
frame_header read_header(std::string_view bytes)
{
    frame_header header;
    header_reader reader(bytes);
    reader.read(header.magic);
    reader.read(header.version);
    reader.read(header.kind);
    reader.read(header.sender_size);
    reader.read(header.key_id);
    reader.read(header.fleet_hash);
    reader.read(header.incarnation);
    reader.read(header.sequence);
    reader.read(header.length);
    return header;
}

std::string write_header(frame_header const& header)
{
    std::string out;
    header_writer writer(out);
    writer.write(header.magic);
    writer.write(header.version);
    writer.write(header.kind);
    writer.write(header.sender_size);
    writer.write(header.key_id);
    writer.write(header.fleet_hash);
    writer.write(header.incarnation);
    writer.write(header.sequence);
    writer.write(header.length);
    return out;
}

/// Computes the truncated HMAC of a frame.
std::string compute_mac(std::string_view secret, std::string_view bytes)
{
    auto const digest = core::hmac_sha256(secret, bytes);
    return std::string(core::as_bytes(digest).substr(0, mac_bytes));
}

/// Derives the HMAC key of a channel, so that keys differ between channels and
/// from other uses of the fleet's secret.
std::string derive_key(std::string const& secret, channel target_channel)
{
    auto const digest = core::hmac_sha256(secret,
                                          target_channel == channel::datagram
                                              ? "kumquatloom datagram frame 1"
                                              : "kumquatloom stream frame 1");
    return std::string(core::as_bytes(digest));
}

/// Decodes the message alternative with the given index.
template <std::size_t Index = 0>
std::optional<message> decode_alternative(std::size_t index,
                                          std::string_view bytes)
{
    if constexpr (Index < std::variant_size_v<message>)
    {
        if (index != Index)
            return decode_alternative<Index + 1>(index, bytes);
        using body_type = std::variant_alternative_t<Index, message>;
        static_assert(static_cast<std::size_t>(body_type::kind) == Index);
        auto body = decode_payload<body_type>(bytes);
        if (!body)
            return std::nullopt;
        return message(std::move(*body));
    }
    else
        return std::nullopt;
}

} // namespace

std::string encode_body(message const& body)
{
    return std::visit(
        [](auto const& alternative)
        {
            return encode_payload(alternative);
        },
        body);
}

std::optional<message> decode_body(message_kind kind, std::string_view bytes)
{
    return decode_alternative(static_cast<std::size_t>(kind), bytes);
}

frame_codec::frame_codec(frame_codec_settings settings)
    : settings_(std::move(settings))
    , fleet_hash_(core::stable_hash(settings_.fleet))
    , guard_(settings_.max_senders)
{
    BOOST_ASSERT(!settings_.keys.empty());
    BOOST_ASSERT(settings_.self.value().size() <= max_name_bytes);
    for (auto const& key : settings_.keys)
        keys_.push_back({key.id, derive_key(key.secret, settings_.channel)});
}

core::result<std::string, peer_error> frame_codec::encode(message const& body)
{
    if (channel_of(kind_of(body)) != settings_.channel)
        return peer_error::wrong_channel;
    std::string payload;
    try
    {
        payload = encode_body(body);
    }
    catch (bounds_error const&)
    {
        return peer_error::out_of_bounds;
    }
    auto const& sender = settings_.self.value();
    if (overhead_bytes + sender.size() + payload.size() > max_frame_bytes())
        return peer_error::oversized;
    frame_header header;
    header.magic = magic;
    header.version = version;
    header.kind = static_cast<std::uint8_t>(kind_of(body));
    header.sender_size = static_cast<std::uint8_t>(sender.size());
    header.key_id = keys_.front().id;
    header.fleet_hash = fleet_hash_;
    header.incarnation = settings_.incarnation;
    header.sequence = ++sequence_;
    header.length = static_cast<std::uint32_t>(payload.size());
    std::string bytes = write_header(header);
    bytes += sender;
    bytes += payload;
    bytes += compute_mac(keys_.front().secret, bytes);
    return bytes;
}

core::result<frame, drop_reason> frame_codec::decode(std::string_view bytes,
                                                     core::time_point now)
{
    auto checked = check(bytes, now);
    if (!checked)
        drops_.increment(checked.error());
    return checked;
}

core::result<frame, drop_reason> frame_codec::check(std::string_view bytes,
                                                    core::time_point now)
{
    // Check sizes first, so that no frame out of bounds is hashed or stored.
    if (bytes.size() > max_frame_bytes())
        return drop_reason::oversized;
    if (bytes.size() < overhead_bytes)
        return drop_reason::malformed;
    auto const header = read_header(bytes);
    if (header.magic != magic || header.version == 0)
        return drop_reason::malformed;
    if (header.version > version)
        return drop_reason::future_version;
    if (header.fleet_hash != fleet_hash_)
        return drop_reason::foreign_fleet;
    if (header.length > max_frame_bytes())
        return drop_reason::oversized;
    if (header.sender_size == 0 || header.sender_size > max_name_bytes ||
        overhead_bytes + header.sender_size + header.length != bytes.size())
        return drop_reason::malformed;

    // Interpret nothing after the header before the HMAC is checked.
    auto const* const key = find_key(header.key_id);
    auto const signed_bytes = bytes.substr(0, bytes.size() - mac_bytes);
    if (key == nullptr ||
        !core::constant_time_equal(compute_mac(key->secret, signed_bytes),
                                   bytes.substr(signed_bytes.size())))
        return drop_reason::bad_authentication;
    auto const kind = static_cast<message_kind>(header.kind);
    if (kind >= message_kind::count || channel_of(kind) != settings_.channel)
        return drop_reason::unknown_kind;

    frame received;
    received.sender = core::instance_id(
        std::string(bytes.substr(header_bytes, header.sender_size)));
    // A frame that this instance has sent itself can only return because a
    // third party has replayed it.
    if (received.sender == settings_.self &&
        header.incarnation == settings_.incarnation)
        return drop_reason::replayed;
    auto const replay_result = guard_.accept(
        received.sender, header.incarnation, header.sequence, now);
    if (replay_result == replay_verdict::replayed &&
        !core::is_mutated(core::mutation::accept_replayed_frame))
        return drop_reason::replayed;
    if (replay_result == replay_verdict::too_many_senders)
        return drop_reason::too_many_senders;

    auto body = decode_body(
        kind, signed_bytes.substr(header_bytes + header.sender_size));
    if (!body)
        return drop_reason::malformed;
    received.incarnation = header.incarnation;
    received.sequence = header.sequence;
    received.body = std::move(*body);
    received.size_bytes = bytes.size();
    return received;
}

void frame_codec::adopt_incarnation(core::incarnation incarnation)
{
    BOOST_ASSERT(incarnation > settings_.incarnation);
    settings_.incarnation = incarnation;
    sequence_ = 0;
}

frame_codec::derived_key const* frame_codec::find_key(std::uint32_t id) const
{
    for (auto const& key : keys_)
        if (key.id == id)
            return &key;
    return nullptr;
}

std::size_t frame_codec::max_frame_bytes() const
{
    return settings_.channel == channel::datagram ? max_datagram_bytes
                                                  : max_stream_frame_bytes;
}

} // namespace kumquatloom::peer
