#ifndef KUMQUATLOOM_ENTRY_SLOT_QUEUE_HPP
#define KUMQUATLOOM_ENTRY_SLOT_QUEUE_HPP

#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/service_state.hpp>
#include <kumquatloom/limits/priority.hpp>
#include <kumquatloom/limits/priority_fair_queue.hpp>
#include <kumquatloom/request/deadline.hpp>
#include <kumquatloom/routing/pick.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace kumquatloom::entry
{

/// The requests of one worker that wait for a free slot at an upstream of one
/// service. Those that can still be answered in time come first, by priority;
/// organisations are served in turn.
class slot_queue
    : public boost::intrusive_ref_counter<slot_queue,
                                          boost::thread_unsafe_counter>
{
public:
    /// A chosen upstream, or why the request is refused.
    using result = core::result<routing::pick, admission::refusal_reason>;

    /// Who waits, and how long.
    struct waiting_request
    {
        /// For whom the request is made.
        core::organisation_name const& organisation;
        /// What is asked of the picker.
        routing::pick_request choice;
        /// When the request is worth nothing any more.
        request::deadline until;
        /// Its importance.
        limits::priority urgency = limits::priority::normal;
        /// When it is to be answered to be worth most.
        core::time_point target = core::time_point::max();
        /// Ends the wait before.
        cancellation& ended;
    };

    /// A queue of the worker that runs the context.
    slot_queue(asio::io_context& context,
               boost::intrusive_ptr<service_state> service);

    /// Chooses an upstream, at once or as soon as one has a free slot.
    asio::awaitable<result> take(waiting_request wanted);

    /// Gives free slots to those that wait.
    void pump();

    /// Requests that wait.
    std::size_t waiting() const
    {
        return queue_.size();
    }

    /// Time after which a request that was refused may find room.
    core::duration time_to_room() const;

    /// The service.
    service_state& service() const
    {
        return *service_;
    }

private:
    /// A request that waits.
    struct waiter
        : boost::intrusive_ref_counter<waiter, boost::thread_unsafe_counter>
    {
        explicit waiter(asio::io_context& context)
            : timer(context)
        {
        }

        /// Ends the wait.
        asio::steady_timer timer;
        /// The upstream that was found.
        std::optional<routing::pick> found;
        /// Whether another organisation's request took the place.
        bool evicted = false;
        /// Whether the request has stopped waiting.
        bool gone = false;
    };

    using waiter_pointer = boost::intrusive_ptr<waiter>;

    std::optional<result> take_now(waiting_request const& wanted);
    asio::awaitable<result> wait(waiting_request wanted);
    void schedule();
    static void wake(waiter& item);
    core::time_point latest_start(core::time_point answer_by) const;
    core::time_point give_up_at(waiting_request const& wanted,
                                core::time_point now) const;

    /// Runs the timers.
    asio::io_context& context_;
    /// The service.
    boost::intrusive_ptr<service_state> service_;
    /// Those that wait.
    limits::priority_fair_queue<waiter_pointer> queue_;
    /// Looks for slots that other workers or time have freed.
    asio::steady_timer timer_;
    /// Choices made for those that wait; varies the choice among equals.
    std::uint64_t draws_ = 0;
    /// Whether the timer runs.
    bool scheduled_ = false;
};

} // namespace kumquatloom::entry

#endif
