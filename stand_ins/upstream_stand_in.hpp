#ifndef KUMQUATLOOM_STAND_INS_UPSTREAM_STAND_IN_HPP
#define KUMQUATLOOM_STAND_INS_UPSTREAM_STAND_IN_HPP

#include <kumquatloom/core/ids.hpp>

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <stand_ins/http_service.hpp>
#include <string>

namespace kumquatloom::stand_ins
{

/// How an upstream misbehaves. Its health probe says that it is well in every
/// mode.
enum class upstream_mode
{
    well,
    slow,
    errors,
    wrong_body,
    foreign_answer,
    cut_body,
    flapping,
    refusing,
    /// Number of modes.
    count
};

/// Name of a mode, as POST /control takes it.
std::string_view to_string(upstream_mode mode);

/// How an upstream works.
struct upstream_stand_in_settings
{
    /// Name of the upstream.
    core::upstream_id id;
    /// Requests that are worked on at a time; others queue.
    unsigned slots = 6;
    /// Queued requests above which an upstream refuses more.
    unsigned queue_limit = 64;
    /// Time that a request takes.
    std::chrono::milliseconds service_time{20};
    /// Factor on the service time in the slow mode.
    unsigned slow_factor = 8;
    /// Time after the start during which requests take three times as long.
    std::chrono::milliseconds cold_time{0};
    /// Time that flapping stays in each of its two states.
    std::chrono::milliseconds flap_period{3000};
    /// Seed of the variation of the service time.
    std::uint64_t seed = 1;
};

/// An upstream with a limited number of slots that counts how often it ran
/// each operation, so that a test can audit "at most once".
class upstream_stand_in
{
public:
    /// Listens on the address.
    upstream_stand_in(boost::asio::io_context& context,
                      settings::endpoint const& listen,
                      upstream_stand_in_settings const& work);

    /// The address that was bound.
    settings::endpoint local_endpoint() const
    {
        return service_.local_endpoint();
    }

    /// Changes the behaviour.
    void switch_mode(upstream_mode mode)
    {
        mode_ = mode;
    }

    /// Announces in each answer that the upstream is leaving.
    void start_leaving();

    /// Executions of one operation.
    unsigned executions(std::string const& operation) const;

    /// Requests that were received in all.
    std::uint64_t received() const
    {
        return received_;
    }

    /// Requests received after the upstream had announced for 3 s that it is
    /// leaving.
    std::uint64_t received_late_while_leaving() const
    {
        return received_late_while_leaving_;
    }

    /// Everything that an audit needs, as JSON.
    boost::json::object audit() const;

private:
    boost::asio::awaitable<http_reply> answer(http_request const& request);
    boost::asio::awaitable<http_reply> run(http_request request);
    boost::asio::awaitable<bool> wait_for_slot();
    boost::asio::awaitable<void> work(upstream_mode mode);
    http_reply finish(http_request const& request, upstream_mode mode);
    http_reply refuse(http_request const& request);
    http_reply answer_control(http_request const& request);
    upstream_mode effective_mode() const;
    void count_arrival();
    void add_headers(http_request const& request, http_response& response);

    /// How the upstream works.
    upstream_stand_in_settings settings_;
    /// Current behaviour.
    upstream_mode mode_ = upstream_mode::well;
    /// When the upstream started.
    std::chrono::steady_clock::time_point started_;
    /// When it began to leave; the epoch if it does not.
    std::chrono::steady_clock::time_point leaving_since_;
    /// Whether it is leaving.
    bool leaving_ = false;
    /// Requests that occupy a slot.
    unsigned busy_ = 0;
    /// Requests that wait for a slot.
    unsigned queued_ = 0;
    /// Requests received in all.
    std::uint64_t received_ = 0;
    /// Requests received too late in the course of leaving.
    std::uint64_t received_late_while_leaving_ = 0;
    /// Executions by operation id.
    std::map<std::string, unsigned> executions_;
    /// Request id of the answer before, used for a foreign answer.
    std::string previous_request_id_ = "none";
    /// Body of the answer before.
    std::string previous_body_ = "{}";
    /// Varies the service time.
    std::mt19937_64 random_;
    /// Answers requests.
    http_service service_;
};

} // namespace kumquatloom::stand_ins

#endif
