#ifndef KUMQUATLOOM_DOCUMENT_DOCUMENT_HPP
#define KUMQUATLOOM_DOCUMENT_DOCUMENT_HPP

#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/organisation_fault.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatloom::document
{

/// Amount of evidence required before an upstream counts as faulty. From fast
/// to cautious, detection takes longer and causes fewer false positives.
enum class detection_level
{
    fast,
    balanced,
    cautious
};

/// Which requests of a route may be retried although an earlier attempt may
/// have executed them: those with an idempotent method, none, or all.
enum class repeat_rule
{
    by_method,
    never,
    always
};

/// A group of equivalent upstreams.
struct service_settings
{
    /// Number of upstreams that the service has when all are healthy.
    unsigned expected_upstreams = 1;
    /// Fraction of the expected upstreams that ejections must leave in service.
    double floor = 0.5;
    /// Maximum number of concurrent requests per upstream.
    unsigned slots = 1;
    /// Evidence required before an upstream is avoided.
    detection_level detection = detection_level::balanced;
    /// Timeout of one attempt.
    std::chrono::milliseconds timeout{1000};

    /// Number of upstreams that must stay in service: the floor, rounded up.
    unsigned floor_upstreams() const;
    /// Maximum number of upstreams that may be ejected at the same time.
    unsigned ejection_budget() const;
};

/// A group of callers that authenticates with a credential.
struct organisation_settings
{
    /// SHA-256 digests of the accepted credentials.
    std::vector<core::sha256_digest> credentials;
    /// Priority rank of the organisation's requests, which goes before that of
    /// the route; nothing if the document states none.
    std::optional<unsigned> rank = std::nullopt;
    /// Quota over the whole fleet, in requests per second; 0 means no limit.
    double rate_per_s = 0;
    /// Requests that the quota allows in addition to the rate.
    double burst = 0;
};

/// A service that receives a share of a route's requests.
struct service_share
{
    /// The service.
    core::service_name service;
    /// Weight relative to the other shares of the route.
    std::uint32_t weight = 1;
};

/// Maps requests to a service, with the callers that are permitted and the
/// limits that apply.
struct route_settings
{
    /// Host that the route matches, in lower case; empty matches every host.
    /// Either all routes of a document name a host or none does.
    std::string host;
    /// Path prefix; the longest matching prefix wins.
    std::string prefix;
    /// The service that receives the requests, unless the route is split.
    core::service_name service;
    /// Services among which the requests are split by weight.
    std::vector<service_share> split;
    /// Organisations that are permitted to use the route.
    std::vector<core::organisation_name> organisations;
    /// Regions in which the route is available; empty means all.
    std::vector<core::region> regions;
    /// Which requests may be retried.
    repeat_rule repeat = repeat_rule::by_method;
    /// Rate limit of each organisation over the whole fleet, in requests per
    /// second; 0 means no limit.
    std::uint32_t limit_per_s = 0;
    /// Time limit of requests; a caller's deadline may be shorter.
    std::chrono::milliseconds deadline{1000};
    /// Target latency of responses; 0 if the document states none.
    std::chrono::milliseconds target_latency{0};
    /// Maximum number of attempts per request.
    unsigned max_attempts = 3;
    /// Priority rank of requests that carry none; 0 is served first.
    unsigned rank = 1;
    /// Whether callers need no credential for this route.
    bool is_public = false;
};

/// Limits on requests and connections of callers.
struct caller_limits
{
    /// Maximum size of a request header.
    std::size_t header_bytes = 0;
    /// Maximum size of a request body.
    std::size_t body_bytes = 0;
    /// Time limit for receiving a request header, and again for receiving the
    /// body.
    std::chrono::milliseconds header_timeout{0};
    /// Time after which an idle connection is closed.
    std::chrono::milliseconds idle_timeout{0};
};

/// Whether callers must authenticate.
enum class access_rule
{
    /// Callers authenticate as an organisation by a credential.
    by_credential,
    /// Every caller may use every route.
    open
};

/// A validated version of the configuration.
struct document : boost::intrusive_ref_counter<document>
{
    /// Offset of the log record of the last accepted edit, or the version
    /// number that a configuration from the platform's store contains.
    core::log_offset version = 0;
    /// Services by name.
    std::map<core::service_name, service_settings> services;
    /// Organisations by name.
    std::map<core::organisation_name, organisation_settings> organisations;
    /// Routes of all sections.
    std::vector<route_settings> routes;
    /// Whether callers must authenticate.
    access_rule access = access_rule::by_credential;
    /// Whether every organisation may use every route, so that the routes list
    /// none. Prefixes then end with a slash, as in an open document.
    bool permits_every_organisation = false;
    /// Ignored entries for organisations, by fault.
    std::map<organisation_fault, ignored_organisations> ignored;
    /// Limits that replace those of the instance settings, if present.
    std::optional<caller_limits> limits;
    /// Number of entry instances that each region has when all are healthy.
    std::map<core::region, unsigned> expected_entry_instances;
};

} // namespace kumquatloom::document

#endif
