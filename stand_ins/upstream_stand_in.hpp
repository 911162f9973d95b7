#ifndef KUMQUATLOOM_STAND_INS_UPSTREAM_STAND_IN_HPP
#define KUMQUATLOOM_STAND_INS_UPSTREAM_STAND_IN_HPP

#include <kumquatloom/core/ids.hpp>

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <stand_ins/http_server.hpp>
#include <string>

namespace kumquatloom::stand_ins
{

/// Fault of an upstream. All are gray failures: the health probe succeeds in
/// every mode.
enum class upstream_mode
{
    well,
    slow,
    /// Every response has status 500.
    errors,
    /// A bit of each body is changed, so that its digest does not match.
    wrong_body,
    /// The response to the previous request is sent, with a valid digest.
    foreign_answer,
    /// The connection is closed after half of each body.
    cut_body,
    /// The upstream alternates between the slow mode and the healthy one.
    flapping,
    /// Every request is refused without being executed.
    refusing,
    /// Number of modes.
    count
};

/// Name of a mode, as used by POST /control.
std::string_view to_string(upstream_mode mode);

/// Settings of an upstream.
struct upstream_stand_in_settings
{
    /// Id of the upstream.
    core::upstream_id id;
    /// Number of requests that are executed concurrently; others are queued.
    unsigned slots = 6;
    /// Maximum number of queued requests; further ones are refused.
    unsigned queue_limit = 64;
    /// Mean service time of a request.
    std::chrono::milliseconds service_time{20};
    /// Service time factor in the slow mode.
    unsigned slow_factor = 8;
    /// Warm-up time after the start, during which requests take three times as
    /// long.
    std::chrono::milliseconds cold_time{0};
    /// Duration of each of the two states in the flapping mode.
    std::chrono::milliseconds flap_period{3000};
    /// Random seed of the service times.
    std::uint64_t seed = 1;
};

/// Stand-in for an upstream, with a limited number of slots. It counts the
/// executions of each operation, so that a test can verify at-most-once
/// execution.
class upstream_stand_in
{
public:
    /// Listens on the address.
    upstream_stand_in(boost::asio::io_context& context,
                      settings::endpoint const& listen,
                      upstream_stand_in_settings const& initial);

    /// The bound address.
    settings::endpoint local_endpoint() const
    {
        return server_.local_endpoint();
    }

    /// Changes the mode.
    void switch_mode(upstream_mode mode)
    {
        mode_ = mode;
    }

    /// Announces in each response from now on that the upstream is leaving.
    void start_leaving();

    /// Number of executions of an operation.
    unsigned executions(std::string const& operation) const;

    /// Total number of received requests.
    std::uint64_t received() const
    {
        return received_;
    }

    /// Requests received over 3 s after the upstream began to announce that it
    /// is leaving.
    std::uint64_t received_late_while_leaving() const
    {
        return received_late_while_leaving_;
    }

    /// The counters that an audit reads, as JSON.
    boost::json::object audit() const;

private:
    boost::asio::awaitable<http_reply>
    handle_request(http_request const& request);
    boost::asio::awaitable<http_reply> execute(http_request request);
    boost::asio::awaitable<bool> wait_for_slot();
    boost::asio::awaitable<void> simulate_work(upstream_mode mode);
    http_reply make_response(http_request const& request, upstream_mode mode);
    http_reply make_refusal(http_request const& request);
    http_reply handle_control(http_request const& request);
    upstream_mode effective_mode() const;
    void count_arrival();
    void add_headers(http_request const& request, http_response& response);

    /// Settings of the upstream.
    upstream_stand_in_settings settings_;
    /// Current mode.
    upstream_mode mode_ = upstream_mode::well;
    /// When the upstream started.
    std::chrono::steady_clock::time_point started_;
    /// When start_leaving() was called; the epoch if it was not.
    std::chrono::steady_clock::time_point leaving_since_;
    /// Whether it is leaving.
    bool leaving_ = false;
    /// Requests that occupy a slot.
    unsigned busy_ = 0;
    /// Requests that wait for a slot.
    unsigned queued_ = 0;
    /// See received().
    std::uint64_t received_ = 0;
    /// See received_late_while_leaving().
    std::uint64_t received_late_while_leaving_ = 0;
    /// Executions by operation id.
    std::map<std::string, unsigned> executions_;
    /// Request id of the previous response, for the foreign_answer mode.
    std::string previous_request_id_ = "none";
    /// Body of the previous response.
    std::string previous_body_ = "{}";
    /// Random number generator of the service times.
    std::mt19937_64 random_;
    /// The HTTP server.
    http_server server_;
};

} // namespace kumquatloom::stand_ins

#endif
