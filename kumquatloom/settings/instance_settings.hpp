#ifndef KUMQUATLOOM_SETTINGS_INSTANCE_SETTINGS_HPP
#define KUMQUATLOOM_SETTINGS_INSTANCE_SETTINGS_HPP

#include <kumquatloom/core/fault.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::settings
{

/// Who and where the instance is.
struct identity_settings
{
    /// Name of the instance, unique in the fleet.
    core::instance_id id;
    /// The failure domain that it runs in.
    core::failure_domain failure_domain;
    /// The region of that failure domain.
    core::region region;
};

/// The addresses that the instance listens on.
struct listen_settings
{
    /// Callers' HTTP port.
    endpoint callers;
    /// Operators' HTTP port.
    endpoint operators;
    /// UDP and TCP port of the inner protocol.
    endpoint peers;
};

/// Where the platform's services are.
struct platform_settings
{
    /// The append-only log.
    endpoint log;
    /// The list of live and leaving instances.
    endpoint instances;
    /// Time between two reads of the list.
    std::chrono::milliseconds poll_interval{500};
};

/// A key that authenticates the inner protocol.
struct fleet_key
{
    /// Number by which messages name the key.
    std::uint32_t id = 0;
    /// The secret bytes.
    std::string secret;
};

/// The fleet that the instance belongs to.
struct fleet_settings
{
    /// Name of the fleet; messages of other fleets are dropped.
    std::string name;
    /// One or two keys; the first one authenticates what is sent.
    std::vector<fleet_key> keys;
    /// Ed25519 public key of the owner that must create the document; empty
    /// accepts the first creation in the log.
    std::string platform_public_key;
    /// Peers to contact first.
    std::vector<endpoint> seeds;
    /// Members of a region that read the log themselves.
    unsigned readers_per_region = 1;
    /// Members of a cell that activation does not wait for.
    unsigned quorum_slack = 1;
};

/// Bounds on what callers may send and hold.
struct caller_settings
{
    /// Largest request header.
    std::size_t header_limit_bytes = 16 * 1024;
    /// Largest request body.
    std::size_t body_limit_bytes = 1024 * 1024;
    /// Time that a caller has to send a request's header, and then its body.
    std::chrono::milliseconds header_timeout{5000};
    /// Time after which an idle connection is closed.
    std::chrono::milliseconds idle_timeout{60000};
    /// Most connections at one time.
    std::size_t connections = 4096;
    /// How long callers may keep an answer about entry instances.
    std::chrono::milliseconds entries_ttl{30000};
};

/// Bounds on the connections to upstreams.
struct upstream_settings
{
    /// Most connections from this instance to one upstream.
    std::size_t connections_per_upstream = 8;
    /// Time allowed for a new connection.
    std::chrono::milliseconds connect_timeout{250};
    /// Largest answer that is accepted.
    std::size_t answer_limit_bytes = 4 * 1024 * 1024;
};

/// Bounds on memory.
struct memory_settings
{
    /// Bytes of all answers that are buffered at one time.
    std::size_t buffered_answers_bytes = 64 * 1024 * 1024;
};

/// All settings of one entry instance.
struct instance_settings
{
    /// Who and where the instance is.
    identity_settings instance;
    /// Its own addresses.
    listen_settings listen;
    /// The platform's addresses.
    platform_settings platform;
    /// The fleet it belongs to.
    fleet_settings fleet;
    /// Bounds towards callers.
    caller_settings callers;
    /// Bounds towards upstreams.
    upstream_settings upstreams;
    /// Bounds on memory.
    memory_settings memory;
    /// Threads that serve requests.
    unsigned threads = 2;
    /// Least level of log lines.
    std::string log_level = "info";
};

/// Parses and checks settings; adds every fault that it finds. The result is
/// usable only if no fault was added.
instance_settings parse_instance_settings(std::string_view text,
                                          core::fault_list& faults);

/// The default settings as JSON text; names, addresses and keys are examples.
std::string default_settings_text();

} // namespace kumquatloom::settings

#endif
