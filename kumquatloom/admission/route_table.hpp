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
#include <string_view>
#include <vector>

namespace kumquatloom::admission
{

/// The route that answers a request. The views point into the route table.
struct matched_route
{
    /// Number of the route within its document.
    std::uint32_t index = 0;
    /// The host, if routes name hosts, and the path prefix without a slash at
    /// its end; empty for the root of every host.
    std::string_view prefix;
    /// The service that answers.
    std::string_view service;
    /// Which requests may be repeated.
    document::repeat_rule repeat = document::repeat_rule::by_method;
    /// Requests a second for each organisation, 0 for no limit.
    std::uint32_t limit_per_s = 0;
    /// Deadline of requests that bring none.
    std::chrono::milliseconds deadline{0};
    /// Longest time that one attempt may take.
    std::chrono::milliseconds attempt_timeout{0};
    /// Time within which an answer is worth most; 0 if none is stated.
    std::chrono::milliseconds target_latency{0};
    /// Most upstreams that the request may be sent to.
    unsigned max_attempts = 0;
    /// Importance of requests that state none.
    limits::priority priority = limits::priority::normal;
};

/// What selects a route.
struct route_key
{
    /// Host as received; only looked at if routes name hosts.
    std::string_view host;
    /// Path without the query.
    std::string_view path;
    /// Random bits that select the service of a split route.
    std::uint32_t draw = 0;
};

/// Finds the route of a path as seen from one region. The longest prefix that
/// ends at a segment boundary wins, even if a shorter one would permit the
/// request. Routes with the same prefix are alternatives: the first one that
/// permits the request answers it. Does not change after construction.
class route_table
{
public:
    /// Indexes the routes of a document for the region of this instance.
    route_table(document::document const& source,
                authenticator const& organisations,
                core::region const& region);

    /// The route for a request and an organisation.
    core::result<matched_route, refusal_reason>
    match(route_key const& wanted, organisation_index organisation) const;

    /// Number of routes.
    std::size_t size() const
    {
        return routes_.size();
    }

    /// Bytes of memory in use.
    std::size_t memory() const;

private:
    class organisation_finder;

    /// One route.
    struct route
    {
        /// The first permitted organisation in `organisations_`, and the end.
        std::uint32_t first_organisation = 0;
        std::uint32_t last_organisation = 0;
        /// Index of the service's name; of a split route the first of its
        /// parts in `parts_`.
        std::uint32_t service = 0;
        /// Number of parts; 0 if the route is not split.
        std::uint32_t parts = 0;
        /// Requests a second for each organisation, 0 for no limit.
        std::uint32_t limit_per_s = 0;
        /// Deadline in milliseconds.
        std::uint32_t deadline_ms = 0;
        /// Longest time of one attempt in milliseconds.
        std::uint32_t timeout_ms = 0;
        /// Target latency in milliseconds.
        std::uint32_t target_ms = 0;
        /// Most upstreams that one request may be sent to.
        std::uint16_t max_attempts = 0;
        /// Importance of requests that state none.
        limits::priority priority = limits::priority::normal;
        /// The next route with the same prefix, or no_route.
        std::uint32_t next = 0;
        /// Which requests may be repeated.
        document::repeat_rule repeat = document::repeat_rule::by_method;
        /// Whether the route may be used in this region.
        bool region_permitted = false;
    };

    /// A service of a split route.
    struct split_part
    {
        /// Index of the service's name.
        std::uint32_t service = 0;
        /// Sum of the weights up to and including this part.
        std::uint64_t weight_up_to = 0;
    };

    /// The index of a service's name, which is added if it is new.
    std::uint32_t index_of(core::service_name const& name);
    /// The service that answers a request.
    std::string_view service_of(route const& item, std::uint32_t draw) const;
    /// Whether the rest of a path behind a prefix is one of the route's.
    bool covers(std::string_view path, std::size_t prefix_size) const;
    /// Adds one route with its permissions.
    void add(document::route_settings const& settings,
             std::uint32_t service,
             std::uint32_t timeout_ms,
             organisation_finder const& organisations,
             core::region const& region);
    /// Links the routes into the hash table.
    void build_index();
    /// The slot of a prefix, which is empty if no route has it.
    std::size_t slot_of(std::string_view prefix) const;
    /// The first route of a prefix, or no_route.
    std::uint32_t find(std::string_view prefix) const;
    /// Picks among the routes of one prefix.
    core::result<matched_route, refusal_reason>
    pick(std::uint32_t first,
         std::uint32_t draw,
         organisation_index organisation) const;
    /// Whether a route permits an organisation.
    bool permits(route const& item, organisation_index organisation) const;

    /// All routes in the order of the document.
    std::vector<route> routes_;
    /// Prefixes by route.
    string_pool prefixes_;
    /// Names of the services.
    string_pool services_;
    /// Indexes of the services' names, while the table is built.
    std::map<core::service_name, std::uint32_t> service_indexes_;
    /// The parts of all split routes.
    std::vector<split_part> parts_;
    /// Whether the routes name hosts.
    bool by_host_ = false;
    /// Whether everybody may use every route. Then a prefix ends with a slash
    /// and covers only paths that have it, too.
    bool is_open_ = false;
    /// Permitted organisations of all routes, sorted for each route.
    std::vector<std::uint32_t> organisations_;
    /// Hash table with open addressing: the first route of each prefix.
    std::vector<std::uint32_t> slots_;
    /// Segments of the longest prefix; longer paths are not searched deeper.
    std::size_t max_segments_ = 0;
};

} // namespace kumquatloom::admission

#endif
