#ifndef KUMQUATLOOM_ENTRY_SLOT_QUEUE_HPP
#define KUMQUATLOOM_ENTRY_SLOT_QUEUE_HPP

#include <kumquatloom/admission/refusal_reason.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/entry/cancellation.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/request_policy.hpp>
#include <kumquatloom/entry/service_state.hpp>
#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/limits/admission_levels.hpp>
#include <kumquatloom/limits/connection_turn.hpp>
#include <kumquatloom/limits/cost_aware_queue.hpp>
#include <kumquatloom/limits/coverage_trials.hpp>
#include <kumquatloom/limits/priority.hpp>
#include <kumquatloom/limits/priority_fair_queue.hpp>
#include <kumquatloom/limits/retry_preference.hpp>
#include <kumquatloom/limits/shortage_control.hpp>
#include <kumquatloom/limits/shortage_refusal.hpp>
#include <kumquatloom/limits/shortage_state.hpp>
#include <kumquatloom/limits/size_estimate.hpp>
#include <kumquatloom/request/deadline.hpp>
#include <kumquatloom/routing/pick.hpp>
#include <kumquatloom/routing/pick_error.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace kumquatloom::entry
{

/// Queue of one worker's requests that wait for a slot at an upstream of one
/// service: those of the standard policy in a limits::priority_fair_queue, the
/// others in a limits::cost_aware_queue. The more urgent request goes first.
class slot_queue
    : public boost::intrusive_ref_counter<slot_queue,
                                          boost::thread_unsafe_counter>
{
public:
    /// The chosen upstream, or the reason why the request is refused.
    using result = core::result<routing::pick, admission::refusal_reason>;

    /// A request for a slot.
    struct slot_request
    {
        /// The organisation of the caller.
        core::organisation_name const& organisation;
        /// Parameters of the upstream selection.
        routing::pick_request selection;
        /// Deadline of the request.
        request::deadline until;
        /// Priority of the request.
        limits::priority priority = limits::priority::normal;
        /// When the response is due according to the route's target latency.
        core::time_point answer_by = core::time_point::max();
        /// Cancels the wait.
        cancellation& cancel;
        /// Turns of the connection of a pipelined request; null for others.
        limits::connection_turn* connection = nullptr;
        /// How the request is queued.
        request_policy policy = request_policy::standard;
        /// The route, by which the work of cost-aware requests is estimated.
        std::string_view route;
    };

    /// `context` is that of the worker. `levels` is null if admission levels
    /// are disabled.
    slot_queue(asio::io_context& context,
               boost::intrusive_ptr<service_state> service,
               limits::admission_levels* levels);

    /// Chooses an upstream with a free slot, and waits for one if necessary.
    asio::awaitable<result> acquire(slot_request request);

    /// Assigns free slots to waiting requests.
    void assign_slots();

    /// Number of waiting requests.
    std::size_t waiting() const
    {
        return queue_.size() + cost_aware_.size();
    }

    /// Estimated sum of queueing and service time of a request behind those
    /// that wait now.
    core::duration estimated_response_time() const;

    /// Time until an upstream of the service accepts requests; zero unless all
    /// of them have asked for a pause.
    core::duration time_until_available() const;

    /// Records the end of an attempt of a cost-aware request.
    void record_attempt(std::string_view route,
                        health::attempt_result outcome,
                        core::duration time);

    /// Counts a cost-aware request that was refused for lack of room, and logs
    /// if that is the beginning of a shortage.
    void record_refusal(limits::shortage_refusal reason,
                        limits::priority value);

    /// Time until a cost-aware request of a priority that arrives now would get
    /// a slot.
    core::duration expected_wait(limits::priority value) const;

    /// Keeps the retry budget for urgent requests.
    limits::retry_preference& retries()
    {
        return retries_;
    }

    /// Counts the end of a request and whether it was served.
    void record_outcome(bool is_served);

    /// Which trials a request may carry that can't be repeated.
    routing::trial_permission coverage_permission() const;

    /// The memory that responses of the service take.
    limits::size_estimate& response_sizes()
    {
        return response_sizes_;
    }

    service_state& service() const
    {
        return *service_;
    }

private:
    using waiter_hook = boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    struct waiter
        : boost::intrusive_ref_counter<waiter, boost::thread_unsafe_counter>,
          waiter_hook
    {
        explicit waiter(asio::io_context& context)
            : timer(context)
        {
        }

        /// Expires when the wait ends.
        asio::steady_timer timer;
        /// Latest time at which the request may start.
        core::time_point give_up_at;
        limits::turn_number turn = 0;
        /// Upstreams that a cost-aware request has tried.
        std::span<boost::intrusive_ptr<routing::upstream> const> tried;
        /// Preference of a cost-aware request among the free upstreams.
        routing::success_preference preference =
            routing::success_preference::none;
        /// Selection in which no upstream was free that a cost-aware request
        /// hasn't tried.
        std::uint64_t skipped_in = 0;
        /// Why a cost-aware request is refused if it gets no upstream.
        limits::shortage_refusal cause = limits::shortage_refusal::room_shrank;
        /// The assigned upstream.
        std::optional<routing::pick> assigned;
        /// Why the request is refused if it gets no upstream.
        admission::refusal_reason reason =
            admission::refusal_reason::overloaded;
        bool done = false;
    };

    using waiter_pointer = boost::intrusive_ptr<waiter>;
    using waiter_list =
        boost::intrusive::list<waiter,
                               boost::intrusive::constant_time_size<false>>;

    std::optional<result> try_acquire(slot_request const& request);
    asio::awaitable<result> wait(slot_request request);
    asio::awaitable<result> acquire_cost_aware(slot_request request);
    asio::awaitable<void> wait_for_slot(waiter& self, cancellation& cancel);
    core::result<routing::pick, admission::refusal_reason>
    refuse(limits::shortage_refusal cause, limits::priority value);
    bool is_below_level(slot_request const& request,
                        core::duration slack,
                        core::time_point now);
    std::size_t attempts_in_flight() const;
    bool is_cost_aware_next();
    bool assign_cost_aware(core::time_point now);
    void remove_hopeless(core::time_point now);
    void log_shortage(limits::shortage_change change) const;
    std::optional<admission::refusal_reason>
    unservable_reason(core::time_point available_at,
                      core::time_point give_up_at,
                      core::time_point now) const;
    void reject_unservable(core::time_point now);
    void schedule();
    core::result<routing::pick, routing::pick_error>
    choose(routing::pick_request const& request, core::time_point now);
    static void wake(waiter& item);
    core::time_point latest_start(core::time_point answer_by) const;
    core::time_point wait_deadline(slot_request const& request,
                                   core::time_point now) const;

    asio::io_context& context_;
    boost::intrusive_ptr<service_state> service_;
    /// The waiting requests.
    limits::priority_fair_queue<waiter_pointer> queue_;
    /// Shares the queue between the connections of an organisation.
    limits::turn_clock turns_;
    /// The waiting cost-aware requests.
    limits::cost_aware_queue<waiter_pointer> cost_aware_;
    /// Decides which cost-aware requests are refused.
    limits::shortage_control control_;
    /// See response_sizes().
    limits::size_estimate response_sizes_;
    /// See retries().
    limits::retry_preference retries_;
    /// Decides whether any request may be a trial.
    limits::coverage_trials coverage_;
    /// Whether coverage was needed after the last request.
    bool is_covering_ = false;

    /// Admission levels over several instances; null if they are disabled.
    limits::admission_levels* levels_;
    /// Identifies the service in the levels.
    std::uint32_t service_key_;
    /// Whether cost-aware requests are short of room.
    limits::shortage_state shortage_;
    /// When the waiting cost-aware requests were last checked for whether they
    /// can still be served in time.
    core::time_point hopeless_checked_at_;
    /// Whether the last slot went to a cost-aware request while others waited
    /// too.
    bool cost_aware_had_turn_ = false;
    /// All waiting requests, in the order of arrival.
    waiter_list waiters_;
    /// Polls for slots that were freed other than by this worker's requests.
    asio::steady_timer timer_;
    /// Number of selections for waiting requests; breaks ties between equal
    /// upstreams.
    std::uint64_t selections_ = 0;
    /// Whether the timer is running.
    bool scheduled_ = false;
};

} // namespace kumquatloom::entry

#endif
