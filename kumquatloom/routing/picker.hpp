#ifndef KUMQUATLOOM_ROUTING_PICKER_HPP
#define KUMQUATLOOM_ROUTING_PICKER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/core/rcu_cell.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/routing/balancing_policy.hpp>
#include <kumquatloom/routing/pick.hpp>
#include <kumquatloom/routing/pick_error.hpp>
#include <kumquatloom/routing/pick_tier.hpp>
#include <kumquatloom/routing/upstream_table.hpp>

namespace kumquatloom::routing
{

/// Chooses an upstream of one service for each attempt. `choose` and
/// `finish_attempt` may be called on any thread and take no lock.
class picker
{
public:
    explicit picker(
        balancing_policy policy = balancing_policy::load_and_latency)
        : policy_(policy)
    {
    }

    /// Replaces the table of upstreams. Called by one control thread.
    void publish(upstream_table::pointer table)
    {
        table_.publish(std::move(table));
    }

    /// Returns the current table, or null.
    upstream_table::pointer table() const
    {
        return table_.read();
    }

    /// Chooses an upstream and counts the attempt as in flight.
    core::result<pick, pick_error> choose(pick_request const& request,
                                          core::time_point now);

    /// When an upstream that may receive requests is not held: `now` if there
    /// is one, and the end of the clock if no upstream may receive requests.
    core::time_point available_at(core::time_point now) const;

    /// Ends the attempt of a pick and records its result.
    void finish_attempt(pick const& chosen,
                        health::attempt_report const& report,
                        core::time_point now);

    /// Ends the attempt of a pick for which nothing was sent.
    void cancel_attempt(pick const& chosen, core::time_point now);

    /// Numbers of attempts by tier.
    core::counter_family<pick_tier> const& picks_by_tier() const
    {
        return picks_by_tier_;
    }

    /// Numbers of failed choices by reason.
    core::counter_family<pick_error> const& errors() const
    {
        return errors_;
    }

private:
    /// Starts an attempt at an upstream and counts it by tier.
    pick start_attempt(boost::intrusive_ptr<upstream> const& object,
                       pick_tier tier,
                       core::time_point now);
    /// Counts an error and returns it.
    core::result<pick, pick_error> record_error(pick_error error);

    core::rcu_cell<upstream_table> table_;
    balancing_policy policy_;
    core::counter_family<pick_tier> picks_by_tier_;
    core::counter_family<pick_error> errors_;
};

} // namespace kumquatloom::routing

#endif
