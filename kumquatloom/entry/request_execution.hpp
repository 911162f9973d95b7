#ifndef KUMQUATLOOM_ENTRY_REQUEST_EXECUTION_HPP
#define KUMQUATLOOM_ENTRY_REQUEST_EXECUTION_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/exchange_result.hpp>
#include <kumquatloom/entry/request_logger.hpp>
#include <kumquatloom/entry/request_policy.hpp>
#include <kumquatloom/entry/slot_queue.hpp>
#include <kumquatloom/entry/worker_resources.hpp>
#include <kumquatloom/request/attempt_state.hpp>
#include <kumquatloom/request/retry_claim.hpp>
#include <kumquatloom/routing/pick.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstddef>
#include <exception>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatloom::entry
{

class inbound_request;

/// Executes one admitted request: makes sequential attempts until one has a
/// response or no other attempt is permitted, and at most one hedged attempt.
class request_execution
{
public:
    /// All references must outlive the execution. Requesting `cancel` cancels
    /// it.
    request_execution(worker_resources& resources,
                      inbound_request& inbound,
                      admission::admitted_request const& admitted,
                      slot_queue& queue,
                      cancellation& cancel);
    /// Returns a reserved retry that was not made to the budget.
    ~request_execution();

    request_execution(request_execution const&) = delete;
    request_execution& operator=(request_execution const&) = delete;

    /// The response, either from an upstream or local.
    asio::awaitable<http_response> run();

private:
    /// One attempt at one upstream.
    struct attempt
    {
        attempt(routing::pick upstream_pick,
                std::size_t attempt_number,
                request::deadline attempt_deadline)
            : chosen(std::move(upstream_pick))
            , number(attempt_number)
            , until(attempt_deadline)
        {
        }

        /// The upstream.
        routing::pick chosen;
        /// The upstream's concurrency limit, if the attempt acquired it.
        boost::intrusive_ptr<upstream_limit> limit;
        /// Index of the attempt in attempt_state.
        std::size_t number;
        /// Deadline of the attempt.
        request::deadline until;
        /// Cancels the attempt.
        cancellation cancel;
        /// Whether the attempt has ended.
        bool done = false;
        /// The result, if the attempt has ended.
        exchange_result result;
    };

    void start_attempt(routing::pick chosen, std::string_view cause);
    asio::awaitable<void> exchange(attempt& item);
    asio::awaitable<void> wait_for_event();
    core::time_point next_event() const;
    void finish_attempt(attempt& item);
    void report_result(attempt const& item, health::attempt_result result);
    void apply_upstream_status(attempt const& item);
    void accept_response(attempt& item);
    void try_hedge();
    asio::awaitable<bool> try_retry();
    slot_queue::slot_request slot_request(routing::pick_request selection);
    core::time_point answer_by() const;
    request::retry_claim retry_claim();
    bool has_valid_credential() const;
    void refuse_invalid_credential();
    bool has_time_for_attempt() const;
    bool reserve_trial();
    void release_retry();
    bool prefers_proven() const;
    routing::success_preference first_preference();
    routing::success_preference repeated_preference() const;
    core::time_point latest_attempt_start() const;
    std::optional<routing::pick> choose_other_upstream();
    asio::awaitable<std::optional<routing::pick>> wait_for_other_upstream();
    void cancel_attempts();
    http_response make_response();
    admission::refusal_reason final_reason() const;
    http_response upstream_response();
    http_response refuse(admission::refusal_reason reason);
    core::duration cost_aware_return_delay(admission::refusal_reason reason);

    /// Connections and queues of the worker.
    worker_resources& resources_;
    /// The inbound request.
    inbound_request& inbound_;
    /// Route, service and limits that admission determined.
    admission::admitted_request const& admitted_;
    /// How the request is queued, attempted, retried and refused.
    request_policy const policy_;
    /// Queue of requests that wait for a free slot of the service.
    slot_queue& queue_;
    request_logger logger_;
    /// Requested when the response is no longer needed.
    cancellation& cancel_;
    /// State of all attempts, which decides about retries.
    request::attempt_state attempts_;
    /// All attempts, including those that have ended.
    std::vector<std::unique_ptr<attempt>> all_attempts_;
    /// Upstreams of the attempts so far, excluded from retries and hedges.
    std::vector<boost::intrusive_ptr<routing::upstream>> tried_;
    /// Wakes wait_for_event().
    asio::steady_timer timer_;
    /// Whether a retry has been taken from the budget before it is needed.
    bool has_reserved_retry_ = false;
    /// Whether an attempt has ended since the last wait_for_event().
    bool has_event_ = false;
    /// Whether the hedging decision was made.
    bool hedge_decided_ = false;
    /// Why no attempt, or no further one, was started; empty if the result of
    /// the attempts determines the response.
    std::optional<admission::refusal_reason> refusal_;
    /// Whether an attempt exceeded a response size or memory limit.
    bool answer_too_large_ = false;
    /// The response to pass on.
    std::optional<exchange_result> response_;
};

} // namespace kumquatloom::entry

#endif
