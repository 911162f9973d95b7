#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/peer/frame_codec.hpp>
#include <kumquatloom/peer/limits.hpp>

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

using namespace kumquatloom;
using namespace std::chrono_literals;

namespace
{

core::time_point const start{1000s};

peer::frame_codec_settings codec_settings(std::string const& self,
                                          core::incarnation incarnation = 7)
{
    peer::frame_codec_settings settings;
    settings.fleet = "mbao";
    settings.keys = {{1, "first secret"}, {2, "second secret"}};
    settings.self = core::instance_id(self);
    settings.incarnation = incarnation;
    return settings;
}

peer::frame_codec make_codec(std::string const& self,
                             core::incarnation incarnation = 7)
{
    return peer::frame_codec(codec_settings(self, incarnation));
}

/// One message of every kind, with values in its fields.
std::vector<peer::message> sample_messages()
{
    core::instance_id const id("nbi-west-3");
    peer::heartbeat beat;
    beat.failure_domain = core::failure_domain("nbi-west");
    beat.region = core::region("nairobi");
    beat.callers_address = "10.0.0.1:8080";
    beat.state_offset = 12;
    beat.uptime = 5s;
    beat.suspicions = {{id, 9, 2}, {core::instance_id("x"), 1, 0}};
    peer::cell_digest digest;
    digest.region = core::region("nairobi");
    digest.domains = {{core::failure_domain("nbi-west")}};
    digest.members = {
        {id, 3, "10.0.0.1:80", "10.0.0.1:81", 0, true, true, false, 20ms}};
    peer::sync_response response;
    response.nonce = 4;
    response.records = {{1, "{}"}, {2, "{\"type\":\"edit\"}"}};
    response.snapshot_part = "part";
    return {beat,
            peer::probe{1, id, 2},
            peer::indirect_probe{1, id, 2, "10.0.0.1:81"},
            peer::ack{1, id, 2, 3, true, 4, 5, 6ms},
            peer::evidence{"bytes"},
            peer::leaving{4},
            peer::upstream_leaving{core::service_name("settle"),
                                   core::upstream_id("settle-2")},
            digest,
            peer::sync_request{1, 2, 3, 4},
            response,
            peer::share_request{1, "payload"},
            peer::share_grant{1, "payload"}};
}

peer::drop_reason decode_error(peer::frame_codec& codec,
                               std::string const& bytes)
{
    auto const decoded = codec.decode(bytes, start);
    REQUIRE(!decoded);
    return decoded.error();
}

} // namespace

TEST_CASE("frames transport messages of every kind", "[peer]")
{
    // Guards against message fields that are lost or reordered on the wire.
    auto const channel =
        GENERATE(peer::channel::datagram, peer::channel::stream);
    auto sender_settings = codec_settings("a");
    sender_settings.channel = channel;
    auto receiver_settings = codec_settings("b");
    receiver_settings.channel = channel;
    peer::frame_codec sender(sender_settings);
    peer::frame_codec receiver(receiver_settings);
    for (auto const& body : sample_messages())
    {
        auto const bytes = sender.encode(body);
        if (peer::channel_of(peer::kind_of(body)) != channel)
        {
            REQUIRE(bytes.error() == peer::peer_error::wrong_channel);
            continue;
        }
        auto const decoded = receiver.decode(bytes.value(), start);
        REQUIRE(decoded);
        REQUIRE(decoded.value().sender == core::instance_id("a"));
        REQUIRE(decoded.value().incarnation == 7);
        REQUIRE(decoded.value().body == body);
    }
    REQUIRE(receiver.drops().total() == 0);
}

TEST_CASE("frames that fail a check are dropped and counted", "[peer]")
{
    // Guards against accepting frames that were not sent by a member of this
    // fleet.
    auto sender = make_codec("a");
    auto receiver = make_codec("b");
    std::string const good = sender.encode(peer::leaving{1}).value();

    SECTION("a frame of another fleet")
    {
        auto settings = codec_settings("a");
        settings.fleet = "carrelli";
        auto const foreign =
            peer::frame_codec(settings).encode(peer::leaving{1}).value();
        REQUIRE(decode_error(receiver, foreign) ==
                peer::drop_reason::foreign_fleet);
    }
    SECTION("a frame with a newer wire format version")
    {
        std::string later = good;
        later[4] = 2;
        REQUIRE(decode_error(receiver, later) ==
                peer::drop_reason::future_version);
    }
    SECTION("a frame that is too long")
    {
        REQUIRE(decode_error(receiver, std::string(1201, 'x')) ==
                peer::drop_reason::oversized);
    }
    SECTION("a truncated frame")
    {
        REQUIRE(decode_error(receiver, good.substr(0, good.size() - 1)) ==
                peer::drop_reason::malformed);
    }
    SECTION("a frame with an unknown key id")
    {
        auto settings = codec_settings("a");
        settings.keys = {{3, "first secret"}};
        auto const unknown =
            peer::frame_codec(settings).encode(peer::leaving{1}).value();
        REQUIRE(decode_error(receiver, unknown) ==
                peer::drop_reason::bad_authentication);
    }
    SECTION("a frame with any single bit flipped")
    {
        for (std::size_t bit = 0; bit < good.size() * 8; ++bit)
        {
            std::string changed = good;
            changed[bit / 8] =
                static_cast<char>(static_cast<unsigned char>(changed[bit / 8]) ^
                                  (1U << (bit % 8)));
            REQUIRE(!receiver.decode(changed, start));
        }
        REQUIRE(receiver.drops().total() == good.size() * 8);
        REQUIRE(receiver.decode(good, start));
    }
    SECTION("a datagram replayed on a stream")
    {
        auto settings = codec_settings("b");
        settings.channel = peer::channel::stream;
        peer::frame_codec stream(settings);
        REQUIRE(decode_error(stream, good) ==
                peer::drop_reason::bad_authentication);
    }
    SECTION("a message with an overlong text is not encoded")
    {
        peer::heartbeat beat;
        beat.callers_address = std::string(57, '1');
        REQUIRE(sender.encode(beat).error() == peer::peer_error::out_of_bounds);
    }
}

TEST_CASE("two keys are valid during a rotation", "[peer]")
{
    // Guards against an outage during a key rotation: instances with the new
    // and the old signing key must accept each other's frames.
    auto settings = codec_settings("a");
    std::swap(settings.keys[0], settings.keys[1]);
    peer::frame_codec changed(settings);
    auto unchanged = make_codec("b");
    REQUIRE(unchanged.decode(changed.encode(peer::leaving{}).value(), start));
    REQUIRE(changed.decode(unchanged.encode(peer::leaving{}).value(), start));
}

TEST_CASE("each frame is accepted once", "[peer]")
{
    // Guards against an attacker who makes a dead member look alive by
    // replaying its heartbeats.
    auto receiver = make_codec("b");
    auto sender = make_codec("a", 7);
    std::vector<std::string> frames;
    for (int i = 0; i < 2000; ++i)
        frames.push_back(sender.encode(peer::leaving{}).value());

    SECTION("frames are reordered")
    {
        std::mt19937 random(20261204);
        std::shuffle(frames.begin(), frames.begin() + 1000, random);
        for (int i = 0; i < 1000; ++i)
            REQUIRE(receiver.decode(frames[i], start));
        for (int i = 0; i < 1000; ++i)
            REQUIRE(decode_error(receiver, frames[i]) ==
                    peer::drop_reason::replayed);
    }
    SECTION("frames older than the window are rejected")
    {
        REQUIRE(receiver.decode(frames[1999], start));
        REQUIRE(decode_error(receiver, frames[0]) ==
                peer::drop_reason::replayed);
        REQUIRE(receiver.decode(frames[976], start));
    }
    SECTION("a restarted sender starts with sequence number one")
    {
        REQUIRE(receiver.decode(frames[1999], start));
        auto restarted = make_codec("a", 8);
        auto const first = restarted.encode(peer::leaving{}).value();
        REQUIRE(receiver.decode(first, start));
        REQUIRE(decode_error(receiver, first) == peer::drop_reason::replayed);
        // Frames of the ended incarnation are still rejected.
        REQUIRE(decode_error(receiver, frames[5]) ==
                peer::drop_reason::replayed);
    }
    SECTION("an instance does not accept its own frames")
    {
        REQUIRE(decode_error(sender, frames[0]) == peer::drop_reason::replayed);
    }
}

TEST_CASE("the number of senders is bounded", "[peer]")
{
    // Guards against memory that grows with the number of senders ever seen.
    peer::replay_guard guard(2);
    core::instance_id const a("a");
    core::instance_id const b("b");
    core::instance_id const c("c");
    using verdict = peer::replay_verdict;
    REQUIRE(guard.accept(a, 1, 1, start) == verdict::accepted);
    REQUIRE(guard.accept(b, 1, 1, start + 1s) == verdict::accepted);
    REQUIRE(guard.accept(c, 1, 1, start + 60s) == verdict::too_many_senders);
    REQUIRE(guard.accept(c, 1, 1, start + 120s) == verdict::accepted);
    REQUIRE(guard.accept(b, 1, 1, start + 120s) == verdict::replayed);
    REQUIRE(guard.senders() == 2);
}

TEST_CASE("decoders survive mutated input", "[peer]")
{
    // Guards against crashes and large allocations on malformed bytes.
    std::mt19937 random(20261204);
    auto const pick = [&random](std::size_t bound)
    {
        return static_cast<std::size_t>(random() % bound);
    };
    std::size_t accepted = 0;
    for (int round = 0; round < 4000; ++round)
        for (auto const& body : sample_messages())
        {
            std::string bytes = peer::encode_body(body);
            auto const changes = 1 + pick(4);
            for (std::size_t i = 0; i < changes && !bytes.empty(); ++i)
                switch (pick(4))
                {
                case 0:
                    bytes[pick(bytes.size())] = static_cast<char>(random());
                    break;
                case 1:
                    bytes.resize(pick(bytes.size() + 1));
                    break;
                case 2:
                    bytes.insert(pick(bytes.size() + 1), 1 + pick(8), '\xff');
                    break;
                default:
                    bytes[pick(bytes.size())] = '\xff';
                }
            auto const kind = static_cast<peer::message_kind>(
                pick(static_cast<std::size_t>(peer::message_kind::count)));
            accepted += peer::decode_body(peer::kind_of(body), bytes) ? 1 : 0;
            accepted += peer::decode_body(kind, bytes) ? 1 : 0;
        }
    // Some mutations change only numbers or texts, so that decoding succeeds.
    REQUIRE(accepted > 0);
}
