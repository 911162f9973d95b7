#ifndef KUMQUATLOOM_ENTRY_REQUEST_EXECUTION_HPP
#define KUMQUATLOOM_ENTRY_REQUEST_EXECUTION_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/exchange_result.hpp>
#include <kumquatloom/entry/request_logger.hpp>
#include <kumquatloom/entry/slot_queue.hpp>
#include <kumquatloom/entry/worker_resources.hpp>
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

/// Runs one admitted request: one attempt after the other until one has an
/// answer or another one is not permitted, and at most one hedge.
class request_run
{
public:
    /// All references must outlive the run. Requesting `ended` ends it.
    request_run(worker_parts& parts,
                call& caller,
                admission::admitted_request const& admitted,
                slot_queue& queue,
                cancellation& ended);

    /// The answer: that of an upstream, or one of the system itself.
    asio::awaitable<http_response> run();

private:
    /// An attempt at one upstream.
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
        /// Its concurrency limit, if a place was taken.
        boost::intrusive_ptr<upstream_limit> limit;
        /// Number of the attempt.
        std::size_t number;
        /// When the attempt ends.
        request::deadline until;
        /// Ends it before.
        cancellation ended;
        /// Whether it has ended.
        bool done = false;
        /// How it ended.
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

    /// What the worker's requests use together.
    worker_parts& parts_;
    /// The caller's request.
    call& call_;
    /// What it is entitled to.
    admission::admitted_request const& admitted_;
    /// Waits for slots of the service.
    slot_queue& queue_;
    /// Logs what is decided.
    request_journal journal_;
    /// Requested when nobody needs the answer.
    cancellation& ended_;
    /// What is known about all attempts.
    request::attempt_state attempts_;
    /// The attempts.
    std::vector<std::unique_ptr<attempt>> running_;
    /// Upstreams that were tried.
    std::vector<boost::intrusive_ptr<routing::upstream>> tried_;
    /// Wakes the run at an event.
    asio::steady_timer wake_;
    /// Whether an attempt has ended since the last look.
    bool event_ = false;
    /// Whether a hedge was decided about.
    bool hedge_decided_ = false;
    /// Why no attempt was started.
    std::optional<admission::refusal_reason> refusal_;
    /// Whether the bounds of this instance ended an attempt.
    bool answer_too_large_ = false;
    /// The answer to pass on, and its memory.
    std::optional<exchange_result> answer_;
};

} // namespace kumquatloom::entry

#endif
