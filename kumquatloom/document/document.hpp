#ifndef KUMQUATLOOM_DOCUMENT_DOCUMENT_HPP
#define KUMQUATLOOM_DOCUMENT_DOCUMENT_HPP

#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/ids.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatloom::document
{

/// How much evidence the detection of sick upstreams asks for. Each step up
/// detects later and avoids fewer healthy upstreams.
enum class detection_level
{
    fast,
    balanced,
    cautious
};

/// Which requests of a route may be sent to an upstream more than once.
enum class repeat_rule
{
    by_method,
    never,
    always
};

/// A group of equivalent upstreams.
struct service_settings
{
    /// Upstreams that the service has when all are well.
    unsigned expected_upstreams = 1;
    /// Fraction of them that ejections must leave in service.
    double floor = 0.5;
    /// Requests that one upstream works on at a time.
    unsigned slots = 1;
    /// Evidence asked for before an upstream is avoided.
    detection_level detection = detection_level::balanced;
    /// Longest time that one attempt may take.
    std::chrono::milliseconds timeout{1000};

    /// Upstreams that must stay in service: the floor, rounded up.
    unsigned floor_upstreams() const;
    /// Upstreams that may be ejected at one time.
    unsigned ejection_budget() const;
};

/// A group of callers that proves its identity by a credential.
struct organisation_settings
{
    /// Digests of the accepted credentials.
    std::vector<core::sha256_digest> credentials;
};

/// A service that answers a part of a route's requests.
struct service_share
{
    /// The service.
    core::service_name service;
    /// Its part, relative to the other shares of the route.
    std::uint32_t weight = 1;
};

/// Which callers reach which service, and how.
struct route_settings
{
    /// Host that the route is for, in lower case; empty for every host. Either
    /// all routes of a document name a host or none does.
    std::string host;
    /// Path prefix; the longest matching one wins.
    std::string prefix;
    /// The service that answers, unless the route is split.
    core::service_name service;
    /// Services among which the requests are divided by weight.
    std::vector<service_share> split;
    /// Organisations that may use the route.
    std::vector<core::organisation_name> organisations;
    /// Regions in which it may be used; empty means all.
    std::vector<core::region> regions;
    /// Which requests may be repeated.
    repeat_rule repeat = repeat_rule::by_method;
    /// Requests a second that each organisation may send over the whole fleet;
    /// 0 means no limit.
    std::uint32_t limit_per_s = 0;
    /// Deadline of requests that bring none.
    std::chrono::milliseconds deadline{1000};
    /// Time within which an answer is worth most; 0 if none is stated.
    std::chrono::milliseconds target_latency{0};
    /// Most upstreams that one request may be sent to.
    unsigned max_attempts = 3;
    /// Rank of requests that bring none: 0 is served first.
    unsigned rank = 1;
};

/// Bounds on what callers may send, when the document states them.
struct caller_limits
{
    /// Largest request header.
    std::size_t header_bytes = 0;
    /// Largest request body.
    std::size_t body_bytes = 0;
    /// Time for a request's header.
    std::chrono::milliseconds header_timeout{0};
    /// Time after which an idle connection is closed.
    std::chrono::milliseconds idle_timeout{0};
};

/// Whether callers prove which organisation they belong to.
enum class access_rule
{
    by_credential,
    /// Everybody may use every route.
    open
};

/// The configuration that is in force, in checked form.
struct document : boost::intrusive_ref_counter<document>
{
    /// Offset of the last log record that it contains.
    core::log_offset version = 0;
    /// Services by name.
    std::map<core::service_name, service_settings> services;
    /// Organisations by name.
    std::map<core::organisation_name, organisation_settings> organisations;
    /// Routes of all sections.
    std::vector<route_settings> routes;
    /// Who may use the routes.
    access_rule access = access_rule::by_credential;
    /// Bounds that replace those of the settings.
    std::optional<caller_limits> limits;
    /// Entry instances that each region has when all are well.
    std::map<core::region, unsigned> expected_entry_instances;
};

} // namespace kumquatloom::document

#endif
