#ifndef KUMQUATLOOM_SOAK_REQUEST_LEDGER_HPP
#define KUMQUATLOOM_SOAK_REQUEST_LEDGER_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <soak/violation.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatloom::soak
{

/// A request as sent by its caller.
struct sent_request
{
    std::string method;
    std::string target;
    std::string body;
    /// Path prefix of the route.
    std::string prefix;
    /// Whether the request may be executed more than once.
    bool is_idempotent = false;
    /// Number of the instance that the request was sent to.
    std::size_t instance = 0;
    /// Timeout of the caller.
    std::chrono::milliseconds deadline{0};
    core::time_point sent_at;
};

/// A request as received by an upstream.
struct received_request
{
    std::string method;
    std::string target;
    std::string body;
    /// The deadline that was passed to the upstream, if any.
    std::optional<std::chrono::milliseconds> deadline;
};

/// A response as sent by an upstream or received by a caller.
struct recorded_response
{
    unsigned status = 0;
    std::string signature;
    std::string body;
};

/// Records requests, executions and responses as callers and upstreams see
/// them, and reports violated guarantees.
class request_ledger
{
public:
    /// Records that a caller begins to send a request.
    void record_sent(std::string const& id, sent_request request);

    /// Records that a request has reached an upstream. Returns the request as
    /// its caller sent it, or null if no caller sent it.
    sent_request const* record_arrival(std::string const& id,
                                       received_request const& request,
                                       std::string const& upstream);

    /// Records that an upstream begins to execute a request.
    void record_execution(std::string const& id, std::string const& upstream);

    /// Records that an upstream begins to send its response.
    void record_sent_response(std::string const& id,
                              recorded_response response);

    /// Records that a caller has received a complete response.
    void record_received_response(std::string const& id,
                                  recorded_response const& response);

    /// Records that the caller's connection ended before the response.
    void record_disconnect(std::string const& id);

    /// The request as its caller sent it, or null if it is unknown.
    sent_request const* find(std::string const& id) const;

    /// When the caller's connection ended before the response, if it did.
    std::optional<core::time_point>
    disconnected_at(std::string const& id) const;

    /// Whether the request has reached an upstream.
    bool has_arrived(std::string const& id) const;

    /// Runs the checks that need the final state of all requests.
    void finish();

    /// Adds a violation.
    void report(std::string guarantee, std::string detail);

    /// All violations so far.
    std::vector<violation> const& violations() const
    {
        return violations_;
    }

    /// Number of responses by status; 0 counts requests without a response.
    std::map<unsigned, std::size_t> const& statuses() const
    {
        return statuses_;
    }

    /// Number of requests that were sent.
    std::size_t size() const
    {
        return requests_.size();
    }

private:
    /// State of one request.
    struct request_record
    {
        sent_request request;
        /// Arrivals at upstreams, and executions.
        unsigned arrivals = 0;
        unsigned executions = 0;
        std::string first_executed_at;
        /// Responses that upstreams sent.
        std::vector<recorded_response> responses;
        /// Status that the caller received, or 0.
        unsigned status = 0;
        std::optional<core::time_point> disconnected_at;
    };

    void check_response(std::string const& id,
                        request_record const& record,
                        recorded_response const& response);

    /// Requests by id.
    std::unordered_map<std::string, request_record> requests_;
    /// See violations().
    std::vector<violation> violations_;
    /// See statuses().
    std::map<unsigned, std::size_t> statuses_;
};

} // namespace kumquatloom::soak

#endif
