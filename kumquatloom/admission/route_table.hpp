#ifndef KUMQUATLOOM_ADMISSION_ROUTE_TABLE_HPP
#define KUMQUATLOOM_ADMISSION_ROUTE_TABLE_HPP

#include <kumquatloom/admission/authenticator.hpp>
#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/admission/string_pool.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/limits/priority.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace kumquatloom::admission
{

/// The route of a request. The views refer to the route table.
struct matched_route
{
    /// Index of the route in its document.
    std::uint32_t index = 0;
    /// The host, if the route names one, followed by the path prefix without a
    /// trailing slash; empty for the root of every host.
    std::string_view prefix;
    /// The service to which requests are sent.
    std::string_view service;
    /// Which requests may be executed more than once.
    document::repeat_rule repeat = document::repeat_rule::by_method;
    /// Rate limit for each organisation in requests per second; 0 for none.
    std::uint32_t limit_per_s = 0;
    /// Deadline of requests, which callers may only shorten.
    std::chrono::milliseconds deadline{0};
    /// Longest duration of one attempt.
    std::chrono::milliseconds attempt_timeout{0};
    /// Latency that responses should not exceed; 0 if the route states none.
    std::chrono::milliseconds target_latency{0};
    /// Largest number of upstreams to which one request may be sent.
    unsigned max_attempts = 0;
    /// Priority of requests that state none.
    limits::priority priority = limits::priority::normal;
};

/// The properties of a request that select its route.
struct route_key
{
    /// Host as received; only used if routes name hosts.
    std::string_view host;
    /// Path without the query.
    std::string_view path;
    /// Random bits that select the service of a split route.
    std::uint32_t random_bits = 0;
};

/// The routes that have the same prefix, in one route table.
enum class route_group : std::uint32_t
{
};

/// Finds the route of a request for the instances of one region. The longest
/// prefix that ends at a segment boundary is used, even if a shorter one would
/// permit the request. Routes with the same prefix are alternatives, of which
/// the first one that permits the request is used. Immutable.
class route_table
{
public:
    /// Indexes the routes of a document for the region of this instance.
    route_table(document::document const& source,
                authenticator const& organisations,
                core::region const& region);

    /// The routes with the longest prefix that covers a request; nothing if
    /// there are none.
    std::optional<route_group> find_group(route_key const& request) const;

    /// Whether callers need no credential for the routes.
    bool is_public(route_group group) const;

    /// The first route of a group that an organisation may use, or the reason
    /// to refuse its request. The organisation is ignored if the group is
    /// public. `random_bits` select the service of a split route.
    core::result<matched_route, refusal_reason>
    select(route_group group,
           std::uint32_t random_bits,
           organisation_index organisation) const;

    /// The route for a request of an organisation, or the reason to refuse it.
    core::result<matched_route, refusal_reason>
    match(route_key const& request, organisation_index organisation) const;

    /// Number of routes.
    std::size_t size() const
    {
        return routes_.size();
    }

    /// Bytes of memory in use.
    std::size_t memory() const;

private:
    class organisation_name_index;

    /// One route.
    struct route
    {
        /// Range of the permitted organisations in `organisations_`.
        std::uint32_t first_organisation = 0;
        std::uint32_t last_organisation = 0;
        /// Index of the service's name; for a split route the index of its
        /// first part in `parts_`.
        std::uint32_t service = 0;
        /// Number of parts; 0 if the route is not split.
        std::uint32_t parts = 0;
        /// Rate limit for each organisation in requests per second; 0 for none.
        std::uint32_t limit_per_s = 0;
        std::uint32_t deadline_ms = 0;
        /// Longest duration of one attempt.
        std::uint32_t timeout_ms = 0;
        /// Target latency; 0 if the route states none.
        std::uint32_t target_ms = 0;
        /// Largest number of upstreams to which one request may be sent.
        std::uint16_t max_attempts = 0;
        /// Priority of requests that state none.
        limits::priority priority = limits::priority::normal;
        /// The next route with the same prefix, or no_route.
        std::uint32_t next = 0;
        /// Which requests may be executed more than once.
        document::repeat_rule repeat = document::repeat_rule::by_method;
        /// Whether the route permits the region of this instance.
        bool region_permitted = false;
        /// Whether callers need no credential.
        bool is_public = false;
    };

    /// One of the services that share a split route.
    struct split_part
    {
        /// Index of the service's name.
        std::uint32_t service = 0;
        /// Sum of the weights up to and including this part.
        std::uint64_t cumulative_weight = 0;
    };

    /// The index of a service's name, which is added if it is new.
    std::uint32_t find_or_add_service(core::service_name const& name);
    /// The service to which a request is sent.
    std::string_view service_of(route const& item,
                                std::uint32_t random_bits) const;
    /// Whether a route with a prefix of this size applies to the path, which
    /// must start with the prefix. See `requires_slash_`.
    bool covers(std::string_view path, std::size_t prefix_size) const;
    /// Adds one route with its permissions.
    void add(document::route_settings const& settings,
             std::uint32_t service,
             std::uint32_t timeout_ms,
             organisation_name_index const& organisations,
             core::region const& region);
    /// Builds the hash table and links alternatives.
    void build_index();
    /// The slot of a prefix, or the empty slot where the probe sequence ends.
    std::size_t slot_of(std::string_view prefix) const;
    /// The first route of a prefix, or no_route.
    std::uint32_t find(std::string_view prefix) const;
    /// Whether a route permits an organisation.
    bool permits(route const& item, organisation_index organisation) const;

    /// All routes in the order of the document.
    std::vector<route> routes_;
    /// Prefixes with their hosts, indexed by route.
    string_pool prefixes_;
    /// Names of the services.
    string_pool services_;
    /// Indexes of the services' names, while the table is built.
    std::map<core::service_name, std::uint32_t> service_indexes_;
    /// The parts of all split routes.
    std::vector<split_part> parts_;
    /// Whether the routes name hosts.
    bool by_host_ = false;
    /// Whether every caller, or every organisation, may use every route.
    bool permits_all_ = false;
    /// Whether prefixes end with a slash and cover only paths that have this
    /// slash, as in documents whose routes list no organisations.
    bool requires_slash_ = false;
    /// Indexes of the permitted organisations of all routes, sorted for each
    /// route.
    std::vector<std::uint32_t> organisations_;
    /// Hash table with open addressing, which holds the first route of each
    /// prefix.
    std::vector<std::uint32_t> slots_;
    /// Largest number of segments in a prefix, which bounds the search.
    std::size_t max_segments_ = 0;
};

} // namespace kumquatloom::admission

#endif
