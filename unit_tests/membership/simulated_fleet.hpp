#ifndef KUMQUATLOOM_UNIT_TESTS_MEMBERSHIP_SIMULATED_FLEET_HPP
#define KUMQUATLOOM_UNIT_TESTS_MEMBERSHIP_SIMULATED_FLEET_HPP

#include <kumquatloom/membership/cell_protocol.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquatloom::membership
{

/// Faults of the simulated network.
struct network_faults
{
    /// Fraction of datagrams that are lost.
    double loss = 0;
    /// Shortest time on the way.
    std::chrono::milliseconds min_delay{1};
    /// Longest time on the way; differing times reorder messages.
    std::chrono::milliseconds max_delay{1};
};

/// One simulated instance.
struct simulated_instance
{
    local_identity identity;
    std::unique_ptr<cell_protocol> protocol;
    local_state state;
    bool running = true;
    bool paused = false;
    bool log_reachable = true;
    /// Messages that wait in the socket of a paused instance.
    std::vector<std::size_t> buffered;
};

/// Instances, a network, a log and an instance list under a manual clock. The
/// log is a number: the offset of its head.
class simulated_fleet
{
public:
    /// Length of one step, in which each instance ticks once.
    static constexpr std::chrono::milliseconds step_length{100};

    /// Starts with the given number of instances in each of four failure
    /// domains of two regions.
    simulated_fleet(std::size_t per_domain, std::uint32_t seed);

    /// Starts an instance. Its name is a free one if none is given.
    std::size_t start(std::string const& domain, std::string name = {});

    /// Ends an instance without a word.
    void crash(std::size_t index);

    /// Starts an instance of the same name with another incarnation.
    std::size_t restart(std::size_t index, std::int64_t incarnation_step = 1);

    /// Lets an instance begin to leave.
    void leave(std::size_t index);

    /// Stops an instance from running; what it is sent waits.
    void pause(std::size_t index);

    /// Continues a paused instance.
    void resume(std::size_t index);

    /// Cuts the path from one instance to another, or heals it.
    void cut(std::size_t from, std::size_t to, bool is_cut = true);

    /// Cuts all paths between the regions, or heals them.
    void cut_regions(bool are_cut);

    /// Runs for a time and calls `each_step` after every step.
    template <typename Check>
    void run(std::chrono::milliseconds time, Check each_step)
    {
        for (auto const end = now_ + time; now_ < end;)
        {
            step();
            each_step();
        }
    }

    /// Runs for a time.
    void run(std::chrono::milliseconds time)
    {
        run(time, [] {});
    }

    /// Whether an instance may be told to callers by another one.
    bool hands_out(std::size_t observer, std::size_t subject) const;

    /// What one instance thinks of another one of its region.
    member_state state_of(std::size_t observer, std::size_t subject) const;

    /// Instances that others miss, or hand out wrongly; empty once every
    /// running instance hands out all running ones and no other.
    std::string differences() const;

    /// Whether there are no differences.
    bool converged() const
    {
        return differences().empty();
    }

    /// Running instances that read the log, per region.
    std::map<core::region, std::size_t> readers() const;

    /// Running instances.
    std::vector<std::size_t> running() const;

    /// Sets the head of the log.
    void append()
    {
        ++head_;
    }

    core::log_offset head() const
    {
        return head_;
    }

    core::time_point now() const
    {
        return now_;
    }

    /// Faults, which may change at any time.
    network_faults faults;
    /// Time by which the instance list lags.
    std::chrono::milliseconds list_lag{5000};
    /// Whether the instance list can be read.
    bool list_reachable = true;
    /// Record requests and pushes between regions.
    std::size_t syncs_across_regions = 0;
    /// All instances that ever ran.
    std::vector<simulated_instance> instances;

private:
    struct packet
    {
        std::size_t from;
        std::size_t to;
        settings::endpoint source;
        core::incarnation incarnation;
        std::shared_ptr<peer::message const> body;
        bool push;
    };

    void step();
    void tick(std::size_t index);
    void read_list();
    void deliver(packet const& item);
    void deliver_sync(packet const& item, outbox& out);
    void learn(std::size_t index,
               core::log_offset offset,
               record_origin origin,
               outbox& out);
    void send(std::size_t from, outbox& out);
    void post(std::size_t from,
              peer::destination const& to,
              std::shared_ptr<peer::message const> body,
              bool stream);
    bool is_cut(std::size_t from, std::size_t to) const;
    std::size_t at(settings::endpoint const& address) const;

    std::mt19937 random_;
    core::time_point now_;
    core::log_offset head_ = 1;
    std::uint64_t next_incarnation_ = 1000;
    std::multimap<core::time_point, packet> in_flight_;
    std::vector<packet> waiting_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    bool regions_cut_ = false;
    std::map<std::string, std::size_t> by_address_;
    std::multimap<core::time_point, std::vector<listed_instance>> lists_;
    core::time_point next_list_;
};

} // namespace kumquatloom::membership

#endif
