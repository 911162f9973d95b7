#ifndef KUMQUATLOOM_MEASURE_QUOTA_FLEET_HPP
#define KUMQUATLOOM_MEASURE_QUOTA_FLEET_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/quota_limit.hpp>
#include <kumquatloom/limits/quota_settings.hpp>
#include <kumquatloom/limits/quota_table.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <measure/event_queue.hpp>
#include <memory>
#include <random>
#include <vector>

namespace kumquatloom::measure
{

/// Simulated instances that enforce quotas with limits::quota_table and
/// exchange updates at the intervals of hosting::neighbour_messenger, between
/// domains through the oldest instance and one receiver that forwards.
class quota_fleet
{
public:
    struct parameters
    {
        unsigned instances = 120;
        unsigned domains = 4;
        /// Fraction of datagrams that are lost.
        double loss = 0.01;
        limits::quota_settings quota;
        std::uint64_t seed = 1;
    };

    quota_fleet(parameters const& setup, event_queue& events);

    /// Puts quotas in force on an instance.
    void configure(unsigned instance,
                   std::vector<limits::quota_limit> const& quotas);

    /// A request at an instance. A paused or stopped instance takes none.
    limits::quota_decision take(unsigned instance, std::uint32_t organisation);

    /// Returns the token of a request.
    void give_back(unsigned instance, std::uint32_t organisation);

    /// Whether datagrams from one instance reach another.
    std::function<bool(unsigned from, unsigned to)> reaches =
        [](unsigned, unsigned)
    {
        return true;
    };

    /// Stops the process of an instance. Its neighbours learn of it if it is
    /// `planned`.
    void stop(unsigned instance, bool planned);
    /// Starts a new process of an instance that knows nothing.
    void start(unsigned instance);
    /// Suspends and resumes a process. Datagrams that arrive meanwhile are
    /// delivered at the end, after the first requests.
    void pause(unsigned instance);
    void resume(unsigned instance);

    bool is_running(unsigned instance) const
    {
        return nodes_[instance].table != nullptr && !nodes_[instance].paused;
    }
    unsigned domain_of(unsigned instance) const
    {
        return instance % setup_.domains;
    }
    bool same_region(unsigned left, unsigned right) const
    {
        return domain_of(left) / ((setup_.domains + 1) / 2) ==
               domain_of(right) / ((setup_.domains + 1) / 2);
    }
    limits::quota_table& table(unsigned instance)
    {
        return *nodes_[instance].table;
    }
    /// Datagrams and payload bytes sent by all instances.
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;

private:
    struct node
    {
        std::unique_ptr<limits::quota_table> table;
        std::vector<limits::quota_limit> quotas;
        core::incarnation incarnation = 0;
        core::time_point last_sent;
        std::vector<core::time_point> last_reported;
        bool paused = false;
        std::vector<std::function<void()>> backlog;
    };

    void tick(unsigned instance, core::incarnation incarnation);
    void send_update(unsigned instance, bool leaving);
    void send_reports(unsigned instance);
    void deliver(unsigned from, unsigned to, std::function<void()> action);
    bool is_reporter(unsigned instance) const;

    parameters setup_;
    event_queue& events_;
    std::vector<node> nodes_;
    std::vector<std::vector<unsigned>> members_;
    core::incarnation next_incarnation_ = 1;
    std::size_t next_target_ = 0;
    std::minstd_rand random_;
};

} // namespace kumquatloom::measure

#endif
