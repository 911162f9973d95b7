#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/request/attempt_state.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::request
{

attempt_state::attempt_state(idempotency repeat, deadline request_deadline)
    : idempotency_(repeat)
    , deadline_(request_deadline)
{
}

std::size_t attempt_state::start(core::time_point now)
{
    attempts_.push_back({now});
    return attempts_.size() - 1;
}

bool attempt_state::begin_write(std::size_t attempt, core::time_point now)
{
    BOOST_ASSERT(attempt < attempts_.size());
    auto& record = attempts_[attempt];
    if (!record.running || deadline_.passed(now))
        return false;
    if (idempotency_ != idempotency::idempotent &&
        another_may_have_run(attempt))
        return false;
    record.sent = sent_state::written;
    return true;
}

void attempt_state::refused(std::size_t attempt)
{
    BOOST_ASSERT(attempt < attempts_.size());
    auto& record = attempts_[attempt];
    // Only a running attempt that has sent its request can have been refused.
    if (record.running && record.sent == sent_state::written)
        record.sent = sent_state::refused_by_upstream;
    failed(attempt, retry_reason::refused);
}

void attempt_state::failed(std::size_t attempt, retry_reason reason)
{
    BOOST_ASSERT(attempt < attempts_.size());
    if (!attempts_[attempt].running)
        return;
    attempts_[attempt].running = false;
    last_failure_ = reason;
}

void attempt_state::cancelled(std::size_t attempt)
{
    BOOST_ASSERT(attempt < attempts_.size());
    attempts_[attempt].running = false;
}

void attempt_state::completed(std::size_t attempt)
{
    BOOST_ASSERT(attempt < attempts_.size());
    BOOST_ASSERT(attempts_[attempt].sent == sent_state::written);
    attempts_[attempt].running = false;
    completed_ = true;
}

std::size_t attempt_state::running() const
{
    return static_cast<std::size_t>(
        std::count_if(attempts_.begin(),
                      attempts_.end(),
                      [](attempt_record const& record)
                      {
                          return record.running;
                      }));
}

core::time_point attempt_state::started(std::size_t attempt) const
{
    BOOST_ASSERT(attempt < attempts_.size());
    return attempts_[attempt].started;
}

sent_state attempt_state::sent(std::size_t attempt) const
{
    BOOST_ASSERT(attempt < attempts_.size());
    return attempts_[attempt].sent;
}

bool attempt_state::proven_not_run() const
{
    return std::all_of(attempts_.begin(),
                       attempts_.end(),
                       [](attempt_record const& record)
                       {
                           return !record.running &&
                                  proves_not_run(record.sent);
                       });
}

bool attempt_state::reached_upstream() const
{
    return std::any_of(attempts_.begin(),
                       attempts_.end(),
                       [](attempt_record const& record)
                       {
                           return record.sent != sent_state::nothing_written;
                       });
}

outcome attempt_state::final_outcome() const
{
    if (completed_)
        return outcome::completed;
    bool const reports_not_run =
        proven_not_run() ||
        core::is_mutated(core::mutation::report_written_as_not_run);
    return reports_not_run ? outcome::not_run : outcome::unknown;
}

bool attempt_state::another_may_have_run(std::size_t attempt) const
{
    for (std::size_t i = 0; i < attempts_.size(); ++i)
        if (i != attempt && !proves_not_run(attempts_[i].sent))
            return true;
    return false;
}

} // namespace kumquatloom::request
