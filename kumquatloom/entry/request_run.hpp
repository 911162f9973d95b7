#ifndef KUMQUATLOOM_ENTRY_REQUEST_RUN_HPP
#define KUMQUATLOOM_ENTRY_REQUEST_RUN_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/exchange_result.hpp>
#include <kumquatloom/entry/request_journal.hpp>
#include <kumquatloom/entry/slot_queue.hpp>
#include <kumquatloom/entry/worker_parts.hpp>
#include <kumquatloom/request/attempt_state.hpp>
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

class call;

/// Executes one admitted request: makes sequential attempts until one has a
/// response or no other attempt is permitted, and at most one hedged attempt.
class request_run
{
public:
    /// All references must outlive the execution. Requesting `cancel` cancels
    /// it.
    request_run(worker_parts& parts,
                call& caller,
                admission::admitted_request const& admitted,
                slot_queue& queue,
                cancellation& ended);

    /// The response, either from an upstream or local.
    asio::awaitable<http_response> run();

private:
    /// One attempt at one upstream.
    struct attempt
    {
        attempt(routing::pick given, std::size_t index, request::deadline end)
            : chosen(std::move(given))
            , number(index)
            , until(end)
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
        cancellation ended;
        /// Whether the attempt has ended.
        bool done = false;
        /// The result, if the attempt has ended.
        exchange_result result;
    };

    void start(routing::pick chosen, std::string_view cause);
    asio::awaitable<void> exchange(attempt& item);
    asio::awaitable<void> wait_for_event();
    core::time_point next_event() const;
    void finish(attempt& item);
    void report(attempt const& item, health::attempt_result result);
    void read_notices(attempt const& item);
    void keep_answer(attempt& item);
    void hedge();
    bool retry();
    std::optional<routing::pick> choose_another();
    void cancel_attempts();
    http_response conclude();
    admission::refusal_reason final_reason() const;
    http_response answer_of_upstream();
    http_response refuse(admission::refusal_reason reason);

    /// Connections and queues of the worker.
    worker_parts& parts_;
    /// The inbound request.
    call& call_;
    /// Route, service and limits that admission determined.
    admission::admitted_request const& admitted_;
    /// Queue for free slots of the service.
    slot_queue& queue_;
    request_journal journal_;
    /// Requested when the response is no longer needed.
    cancellation& ended_;
    /// State of all attempts, which decides about retries.
    request::attempt_state attempts_;
    /// All attempts, including those that have ended.
    std::vector<std::unique_ptr<attempt>> running_;
    /// Upstreams of the attempts so far, excluded from retries and hedges.
    std::vector<boost::intrusive_ptr<routing::upstream>> tried_;
    /// Wakes wait_for_event().
    asio::steady_timer wake_;
    /// Whether an attempt has ended since the last wait_for_event().
    bool event_ = false;
    /// Whether the hedging decision was made.
    bool hedge_decided_ = false;
    /// Why no attempt was started; empty if one was.
    std::optional<admission::refusal_reason> refusal_;
    /// Whether an attempt exceeded a response size or memory limit.
    bool answer_too_large_ = false;
    /// The response to pass on.
    std::optional<exchange_result> answer_;
};

} // namespace kumquatloom::entry

#endif
