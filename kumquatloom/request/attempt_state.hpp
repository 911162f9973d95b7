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

/// All attempts of one request and what is known about each. It belongs to the
/// request and is used by one thread at a time.
class attempt_state
{
public:
    /// Starts without an attempt.
    attempt_state(idempotency repeat, deadline until);

    /// Adds a running attempt and returns its index.
    std::size_t start(core::time_point now);

    /// Must be called before the first byte of an attempt is handed to the
    /// kernel. False if the deadline has passed or if a non-idempotent request
    /// may already be running elsewhere; then nothing may be written.
    [[nodiscard]] bool begin_write(std::size_t attempt, core::time_point now);

    /// The upstream stated in a verified answer that it did not run the
    /// request.
    void refused(std::size_t attempt);

    /// The attempt ended without a usable answer.
    void failed(std::size_t attempt, retry_reason reason);

    /// The attempt was given up, for example because a hedge won.
    void cancelled(std::size_t attempt);

    /// A complete and verified answer arrived.
    void completed(std::size_t attempt);

    /// The caller has closed its connection.
    void mark_caller_disconnected()
    {
        caller_left_ = true;
    }

    /// Whether the caller has closed its connection.
    bool has_caller_left() const
    {
        return caller_left_;
    }

    /// Whether repeating the request is harmless.
    idempotency repeat() const
    {
        return repeat_;
    }

    /// The deadline of the whole request.
    deadline const& until() const
    {
        return until_;
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

    /// How far an attempt got.
    sent_state sent(std::size_t attempt) const;

    /// The failure of the attempt that failed last.
    std::optional<retry_reason> last_failure() const
    {
        return last_failure_;
    }

    /// Whether every attempt has ended and is proven not to have been run.
    bool proven_not_run() const;

    /// Whether bytes of any attempt were handed to the network.
    bool reached_upstream() const;

    /// Outcome of the request over all attempts.
    outcome final_outcome() const;

private:
    /// One attempt.
    struct attempt_record
    {
        /// When it was started.
        core::time_point started;
        /// How far it got.
        sent_state sent = sent_state::nothing_written;
        /// Whether it may still write.
        bool running = true;
    };

    /// Whether an attempt other than the given one may have been run.
    bool another_may_have_run(std::size_t attempt) const;

    /// Whether repeating the request is harmless.
    idempotency repeat_;
    /// The deadline of the whole request.
    deadline until_;
    /// All attempts; three are the usual bound.
    boost::container::small_vector<attempt_record, 3> attempts_;
    /// The failure of the attempt that failed last.
    std::optional<retry_reason> last_failure_;
    /// Whether some attempt has completed.
    bool completed_ = false;
    /// Whether the caller has closed its connection.
    bool caller_left_ = false;
};

} // namespace kumquatloom::request

#endif
