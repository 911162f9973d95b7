#ifndef KUMQUATLOOM_REQUEST_ATTEMPT_STATE_HPP
#define KUMQUATLOOM_REQUEST_ATTEMPT_STATE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/request/deadline.hpp>
#include <kumquatloom/request/idempotency.hpp>
#include <kumquatloom/request/outcome.hpp>
#include <kumquatloom/request/retry_reason.hpp>
#include <kumquatloom/request/sent_state.hpp>

#include <boost/container/small_vector.hpp>

#include <cstddef>
#include <optional>

namespace kumquatloom::request
{

/// Tracks all attempts of one request and decides what they prove about its
/// execution. Not thread-safe.
class attempt_state
{
public:
    attempt_state(idempotency repeat, deadline request_deadline);

    /// Adds a running attempt and returns its index.
    std::size_t start(core::time_point now);

    /// Must be called before the first byte of an attempt is passed to the
    /// kernel; records the attempt as written. Returns false, and then nothing
    /// may be written, if the attempt has ended, if the deadline has passed, or
    /// if the request is not idempotent and another attempt may already have
    /// been run.
    [[nodiscard]] bool begin_write(std::size_t attempt, core::time_point now);

    /// Records that the upstream stated in a verified response that it did not
    /// run the request.
    void refused(std::size_t attempt);

    /// Records that the attempt ended without a usable response.
    void failed(std::size_t attempt, retry_reason reason);

    /// Records that the attempt was abandoned, for example because a hedge
    /// completed first.
    void cancelled(std::size_t attempt);

    /// Records that a complete and verified response arrived.
    void completed(std::size_t attempt);

    /// Records that the caller has closed its connection.
    void mark_caller_disconnected()
    {
        caller_disconnected_ = true;
    }

    bool is_caller_disconnected() const
    {
        return caller_disconnected_;
    }

    /// Whether the request may safely be run more than once.
    idempotency repeat() const
    {
        return idempotency_;
    }

    /// Deadline of the request, over all attempts.
    deadline const& request_deadline() const
    {
        return deadline_;
    }

    /// Number of attempts so far.
    std::size_t attempts() const
    {
        return attempts_.size();
    }

    /// Number of attempts that have not ended.
    std::size_t running() const;

    /// When an attempt was started.
    core::time_point started(std::size_t attempt) const;

    /// How far an attempt got in sending the request.
    sent_state sent(std::size_t attempt) const;

    /// Failure of the attempt that failed last.
    std::optional<retry_reason> last_failure() const
    {
        return last_failure_;
    }

    /// Whether every attempt has ended and provably was not run.
    bool proven_not_run() const;

    /// Whether any attempt has passed bytes to the kernel.
    bool reached_upstream() const;

    /// Outcome of the request over all attempts.
    outcome final_outcome() const;

private:
    struct attempt_record
    {
        core::time_point started;
        sent_state sent = sent_state::nothing_written;
        /// Whether the attempt has not ended and may still write.
        bool running = true;
    };

    /// Whether an attempt other than the given one may have been run.
    bool another_may_have_run(std::size_t attempt) const;

    idempotency idempotency_;
    deadline deadline_;
    /// All attempts; three is the default of retry_settings::max_attempts.
    boost::container::small_vector<attempt_record, 3> attempts_;
    std::optional<retry_reason> last_failure_;
    /// Whether any attempt has completed.
    bool completed_ = false;
    bool caller_disconnected_ = false;
};

} // namespace kumquatloom::request

#endif
