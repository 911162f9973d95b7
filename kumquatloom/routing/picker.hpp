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
/// `finished` run on any thread and take no lock.
class picker
{
public:
    explicit picker(balancing_policy rule = balancing_policy::load_and_latency)
        : rule_(rule)
    {
    }

    /// Replaces the table; one control thread calls it.
    void publish(upstream_table::pointer table)
    {
        table_.publish(std::move(table));
    }

    /// The present table, or null.
    upstream_table::pointer table() const
    {
        return table_.read();
    }

    /// Chooses an upstream and counts the attempt as in flight.
    core::result<pick, pick_error> choose(pick_request const& request,
                                          core::time_point now);

    /// Ends the attempt of a pick.
    void finish_attempt(pick const& chosen,
                        health::attempt_report const& report,
                        core::time_point now);

    /// Attempts by how far from the instance they went.
    core::counter_family<pick_tier> const& picks_by_tier() const
    {
        return spills_;
    }

    /// Failed choices by reason.
    core::counter_family<pick_error> const& errors() const
    {
        return errors_;
    }

private:
    /// Counts and returns a choice.
    pick take(boost::intrusive_ptr<upstream> const& object, pick_tier tier);
    /// Counts and returns an error.
    core::result<pick, pick_error> fail(pick_error error);

    /// The upstreams.
    core::rcu_cell<upstream_table> table_;
    /// By what an upstream is chosen.
    balancing_policy rule_;
    /// Choices by distance.
    core::counter_family<pick_tier> spills_;
    /// Failed choices by reason.
    core::counter_family<pick_error> errors_;
};

} // namespace kumquatloom::routing

#endif
