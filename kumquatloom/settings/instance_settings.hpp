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

/// Identity and location of the instance.
struct identity_settings
{
    /// Id of the instance, unique in the fleet.
    core::instance_id id;
    /// Failure domain that the instance runs in.
    core::failure_domain failure_domain;
    /// Region of the failure domain.
    core::region region;
};

/// Addresses that the instance listens on.
struct listen_settings
{
    /// HTTP endpoint for callers.
    endpoint callers;
    /// HTTP endpoint for operators.
    endpoint operators;
    /// UDP and TCP endpoint of the peer protocol.
    endpoint peers;
};

/// Addresses of the platform's services.
struct platform_settings
{
    /// Append-only log.
    endpoint log;
    /// List of live and leaving entry instances and upstreams.
    endpoint instances;
    /// Interval at which the instance list is read.
    std::chrono::milliseconds poll_interval{500};
};

/// A key that authenticates the messages of the peer protocol.
struct fleet_key
{
    /// Key id in messages.
    std::uint32_t id = 0;
    /// Secret bytes of the key.
    std::string secret;
};

/// The fleet that the instance belongs to.
struct fleet_settings
{
    /// Name of the fleet; messages of other fleets are dropped.
    std::string name;
    /// One or two valid keys; the first one authenticates sent messages.
    std::vector<fleet_key> keys;
    /// Ed25519 public key of the owner who may create the document. If it is
    /// empty, the first creation in the log is accepted.
    std::string platform_public_key;
    /// Peers that the instance contacts first to join the fleet.
    std::vector<endpoint> seeds;
    /// Number of members of a region that read the log directly.
    unsigned readers_per_region = 1;
    /// Number of members of a cell that may lag behind without delaying the
    /// activation of a version.
    unsigned quorum_slack = 1;
};

/// Limits for callers.
struct caller_settings
{
    /// Maximum size of a request header.
    std::size_t header_limit_bytes = 16 * 1024;
    /// Maximum size of a request body.
    std::size_t body_limit_bytes = 1024 * 1024;
    /// Timeout for receiving a request's header, and for each part of its body
    /// that the minimum rate requires in this time.
    std::chrono::milliseconds header_timeout{5000};
    /// Time after which an idle connection is closed.
    std::chrono::milliseconds idle_timeout{60000};
    /// Minimum rate at which a body must arrive, in bytes per second, measured
    /// over `header_timeout`. A body that is complete sooner needs none.
    std::size_t min_body_rate = 16 * 1024;
    /// Maximum time for which a request with a large body, or a response of an
    /// upstream, waits for memory; at most `header_timeout`.
    std::chrono::milliseconds memory_wait{1000};
    /// Maximum number of open connections.
    std::size_t connections = 4096;
    /// Maximum number of requests of one connection that were read and not
    /// answered; 1 disables reading ahead.
    std::size_t pipelined_requests = 16;
    /// Memory of such requests of one connection at which reading ahead stops,
    /// and memory of responses that wait for earlier ones at which no further
    /// request starts ahead.
    std::size_t pipelined_bytes = 256 * 1024;
    /// Time for which callers may cache a response that lists entry instances.
    std::chrono::milliseconds entries_ttl{30000};
};

/// Limits for the port of operators.
struct operator_settings
{
    /// Maximum number of open connections. One above it takes the place of the
    /// one that has waited longest for a request.
    std::size_t connections = 64;
};

/// Limits for connections to upstreams.
struct upstream_settings
{
    /// Maximum number of connections from this instance to one upstream.
    std::size_t connections_per_upstream = 8;
    /// Timeout for opening a connection.
    std::chrono::milliseconds connect_timeout{250};
    /// Maximum size of a response that is accepted.
    std::size_t answer_limit_bytes = 4 * 1024 * 1024;
};

/// Memory limits.
struct memory_settings
{
    /// Maximum total size of buffered responses.
    std::size_t buffered_answers_bytes = 64 * 1024 * 1024;
    /// Maximum total size of buffered requests.
    std::size_t buffered_requests_bytes = 64 * 1024 * 1024;
};

/// All settings of one entry instance.
struct instance_settings
{
    /// Identity and location of the instance.
    identity_settings instance;
    /// Addresses that the instance listens on.
    listen_settings listen;
    /// Addresses of the platform's services.
    platform_settings platform;
    /// Fleet that the instance belongs to.
    fleet_settings fleet;
    /// Limits for callers.
    caller_settings callers;
    /// Limits for the port of operators.
    operator_settings operators;
    /// Limits for connections to upstreams.
    upstream_settings upstreams;
    /// Memory limits.
    memory_settings memory;
    /// Number of threads that serve requests.
    unsigned threads = 2;
    /// Minimum level of log lines.
    std::string log_level = "info";
};

/// Parses and checks settings, and adds every fault found. The result is valid
/// only if no fault was added.
instance_settings parse_instance_settings(std::string_view text,
                                          core::fault_list& faults);

/// Returns the default settings as JSON text; names, addresses and keys are
/// examples.
std::string default_settings_text();

} // namespace kumquatloom::settings

#endif
