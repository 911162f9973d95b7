#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <boost/json/value.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::settings
{

namespace
{

using namespace std::chrono_literals;

/// Minimum size of the secret of a fleet key.
constexpr std::size_t min_secret_bytes = 16;
/// Size of an Ed25519 public key.
constexpr std::size_t public_key_bytes = 32;
/// One key authenticates messages; a second one is also valid during a key
/// rotation.
constexpr std::size_t max_fleet_keys = 2;
constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t mebibyte = 1024 * kibibyte;
constexpr std::uint64_t gibibyte = 1024 * mebibyte;

endpoint read_endpoint(core::json_reader& reader, std::string_view key)
{
    std::string const text = reader.text(key);
    auto const address = parse_endpoint(text);
    if (!address && !text.empty())
        reader.report(
            key, '"' + text + '"', "an IP number and a port, ip:port");
    return address.value_or(endpoint{});
}

identity_settings read_identity(core::json_reader& reader)
{
    identity_settings identity;
    identity.id = core::instance_id(reader.text("id", 1, 64));
    identity.failure_domain =
        core::failure_domain(reader.text("failure_domain", 1, 64));
    identity.region = core::region(reader.text("region", 1, 64));
    return identity;
}

/// Adds a fault if two listeners have the same address.
void check_distinct(core::json_reader& reader,
                    std::string_view key,
                    endpoint const& address,
                    endpoint const& other_address)
{
    if (address.port != 0 && address == other_address)
        reader.report(key,
                      '"' + to_string(address) + '"',
                      "an address that no other listener uses");
}

listen_settings read_listen(core::json_reader& reader)
{
    listen_settings listen;
    listen.callers = read_endpoint(reader, "callers");
    listen.operators = read_endpoint(reader, "operators");
    listen.peers = read_endpoint(reader, "peers");
    check_distinct(reader, "operators", listen.operators, listen.callers);
    check_distinct(reader, "peers", listen.peers, listen.callers);
    check_distinct(reader, "peers", listen.peers, listen.operators);
    return listen;
}

platform_settings read_platform(core::json_reader& reader)
{
    platform_settings platform;
    platform.log = read_endpoint(reader, "log");
    platform.instances = read_endpoint(reader, "instances");
    platform.poll_interval =
        reader.milliseconds_or("poll_ms", 50ms, 60s, platform.poll_interval);
    return platform;
}

fleet_key read_key(core::json_reader& reader)
{
    fleet_key key;
    key.id = static_cast<std::uint32_t>(reader.number("id", 1, 1000000));
    auto const secret = core::from_hex(reader.text("secret_hex", 1, 256));
    if (!secret || secret->size() < min_secret_bytes)
        reader.report("secret_hex",
                      "a secret that is not shown",
                      "hexadecimal text of at least 16 bytes");
    else
        key.secret = *secret;
    return key;
}

fleet_settings read_fleet(core::json_reader& reader)
{
    fleet_settings fleet;
    fleet.name = reader.text("name", 1, 64);
    reader.each_element("keys",
                        [&](core::json_reader& element)
                        {
                            fleet.keys.push_back(read_key(element));
                        });
    if (fleet.keys.empty() || fleet.keys.size() > max_fleet_keys)
        reader.report("keys",
                      std::to_string(fleet.keys.size()) + " keys",
                      "one key, or two during a rotation");
    if (reader.has("platform_public_key_hex"))
    {
        auto const key = core::from_hex(reader.text("platform_public_key_hex"));
        if (!key || key->size() != public_key_bytes)
            reader.report("platform_public_key_hex",
                          "another text",
                          "an Ed25519 public key of 64 hex digits");
        else
            fleet.platform_public_key = *key;
    }
    for (auto const& text : reader.texts("seeds"))
    {
        if (auto const seed = parse_endpoint(text))
            fleet.seeds.push_back(*seed);
        else
            reader.report("seeds", '"' + text + '"', "a list of ip:port texts");
    }
    fleet.readers_per_region =
        static_cast<unsigned>(reader.number_or("readers_per_region", 1, 8, 1));
    fleet.quorum_slack = static_cast<unsigned>(
        reader.number_or("quorum_slack", 0, 8, fleet.quorum_slack));
    return fleet;
}

caller_settings read_callers(core::json_reader& reader)
{
    caller_settings callers;
    callers.header_limit_bytes = reader.number_or(
        "header_limit_bytes", kibibyte, mebibyte, callers.header_limit_bytes);
    callers.body_limit_bytes = reader.number_or(
        "body_limit_bytes", 0, gibibyte, callers.body_limit_bytes);
    callers.header_timeout = reader.milliseconds_or(
        "header_timeout_ms", 10ms, 600s, callers.header_timeout);
    callers.idle_timeout = reader.milliseconds_or(
        "idle_timeout_ms", 10ms, 3600s, callers.idle_timeout);
    callers.min_body_rate = reader.number_or(
        "min_body_bytes_per_s", 1, gibibyte, callers.min_body_rate);
    callers.memory_wait = reader.milliseconds_or(
        "memory_wait_ms",
        0ms,
        callers.header_timeout,
        std::min(callers.memory_wait, callers.header_timeout));
    callers.connections =
        reader.number_or("connections", 1, 1000000, callers.connections);
    callers.pipelined_requests = reader.number_or(
        "pipelined_requests", 1, 1024, callers.pipelined_requests);
    callers.pipelined_bytes = reader.number_or(
        "pipelined_bytes", kibibyte, gibibyte, callers.pipelined_bytes);
    callers.entries_ttl = reader.milliseconds_or(
        "entries_ttl_ms", 100ms, 3600s, callers.entries_ttl);
    return callers;
}

upstream_settings read_upstreams(core::json_reader& reader)
{
    upstream_settings upstreams;
    upstreams.connections_per_upstream = reader.number_or(
        "connections_per_upstream", 1, 400, upstreams.connections_per_upstream);
    upstreams.connect_timeout = reader.milliseconds_or(
        "connect_timeout_ms", 1ms, 60s, upstreams.connect_timeout);
    upstreams.answer_limit_bytes = reader.number_or(
        "answer_limit_bytes", kibibyte, gibibyte, upstreams.answer_limit_bytes);
    return upstreams;
}

void read_all(core::json_reader& reader, instance_settings& result)
{
    using reader_type = core::json_reader;
    reader.object("instance",
                  [&](reader_type& part)
                  {
                      result.instance = read_identity(part);
                  });
    reader.object("listen",
                  [&](reader_type& part)
                  {
                      result.listen = read_listen(part);
                  });
    reader.object("platform",
                  [&](reader_type& part)
                  {
                      result.platform = read_platform(part);
                  });
    reader.object("fleet",
                  [&](reader_type& part)
                  {
                      result.fleet = read_fleet(part);
                  });
    reader.object(
        "callers",
        [&](reader_type& part)
        {
            result.callers = read_callers(part);
        },
        false);
    reader.object(
        "operators",
        [&](reader_type& part)
        {
            result.operators.connections = part.number_or(
                "connections", 1, 10000, result.operators.connections);
        },
        false);
    reader.object(
        "upstreams",
        [&](reader_type& part)
        {
            result.upstreams = read_upstreams(part);
        },
        false);
    reader.object(
        "memory",
        [&](reader_type& part)
        {
            result.memory.buffered_answers_bytes =
                part.number_or("buffered_answers_bytes",
                               mebibyte,
                               16 * gibibyte,
                               result.memory.buffered_answers_bytes);
            result.memory.buffered_requests_bytes =
                part.number_or("buffered_requests_bytes",
                               mebibyte,
                               16 * gibibyte,
                               result.memory.buffered_requests_bytes);
        },
        false);
    result.threads =
        static_cast<unsigned>(reader.number_or("threads", 1, 64, 2));
    result.log_level = reader.one_of(
        "log_level", {"debug", "info", "warning", "error"}, "info");
}

} // namespace

instance_settings parse_instance_settings(std::string_view text,
                                          core::fault_list& faults)
{
    instance_settings result;
    auto const value = core::parse_json(text, faults);
    if (!value)
        return result;
    core::json_reader reader(*value, "", faults);
    if (!value->is_object())
        return result;
    read_all(reader, result);
    reader.finish();
    return result;
}

std::string default_settings_text()
{
    return R"({
  "instance": {
    "id": "entry-1",
    "failure_domain": "domain-1",
    "region": "region-1"
  },
  "listen": {
    "callers": "127.0.0.1:8080",
    "operators": "127.0.0.1:8081",
    "peers": "127.0.0.1:8082"
  },
  "platform": {
    "log": "127.0.0.1:9000",
    "instances": "127.0.0.1:9001",
    "poll_ms": 500
  },
  "fleet": {
    "name": "example",
    "keys": [
      {
        "id": 1,
        "secret_hex": "000102030405060708090a0b0c0d0e0f"
      }
    ],
    "seeds": [],
    "readers_per_region": 1,
    "quorum_slack": 1
  },
  "callers": {
    "header_limit_bytes": 16384,
    "body_limit_bytes": 1048576,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 60000,
    "min_body_bytes_per_s": 16384,
    "memory_wait_ms": 1000,
    "connections": 4096,
    "pipelined_requests": 16,
    "pipelined_bytes": 262144,
    "entries_ttl_ms": 30000
  },
  "operators": {
    "connections": 64
  },
  "upstreams": {
    "connections_per_upstream": 8,
    "connect_timeout_ms": 250,
    "answer_limit_bytes": 4194304
  },
  "memory": {
    "buffered_answers_bytes": 67108864,
    "buffered_requests_bytes": 67108864
  },
  "threads": 2,
  "log_level": "info"
}
)";
}

} // namespace kumquatloom::settings
