#ifndef KUMQUATLOOM_ENTRY_CALL_HPP
#define KUMQUATLOOM_ENTRY_CALL_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/interruption.hpp>
#include <kumquatloom/entry/memory_account.hpp>

#include <utility>

namespace kumquatloom::entry
{

/// One request of a caller while it is being answered.
class call
{
public:
    /// A request that was received completely at `when`.
    call(http_request given, core::time_point when)
        : request(std::move(given))
        , received(when)
    {
    }

    /// Names something that the call waits for from now on.
    void wait_for(interruption& item)
    {
        waits_.push_back(item);
    }

    /// Gives up, since the caller has gone away: ends every wait.
    void cancel()
    {
        cancelled_ = true;
        // An interruption may unlink itself or others.
        while (!waits_.empty())
        {
            auto& item = waits_.front();
            waits_.pop_front();
            item();
        }
    }

    /// Whether the caller has gone away.
    bool cancelled() const
    {
        return cancelled_;
    }

    /// The request as it was received.
    http_request const request;
    /// When the last byte of the request was read.
    core::time_point const received;
    /// Time spent in attempts.
    core::duration attempts{};
    /// The memory of the answer until it is written.
    memory_account::reservation memory;

private:
    /// What the call waits for.
    interruption_list waits_;
    /// Whether the caller has gone away.
    bool cancelled_ = false;
};

} // namespace kumquatloom::entry

#endif
